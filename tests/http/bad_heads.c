#include "tests/http/bad_heads.h"

const char *const fw_bad_heads[FW_BAD_HEADS_COUNT] = {
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length: 5, 5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length: +5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length: -5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length: 0x5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length: \r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Content-Length: 99999999999999999999\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD "Content-Length : 5\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Transfer-Encoding : chunked\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Transfer-Encoding: gzip, chunked\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Transfer-Encoding: xchunked\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Transfer-Encoding: identity\r\n\r\n"),
    ("POST / HTTP/1.1\r\n" FW_HOST_FIELD
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ("POST / HTTP/1.0\r\n" FW_HOST_FIELD "Transfer-Encoding: chunked\r\n\r\n"),
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD FW_HOST_FIELD "\r\n"),
    "GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n",
    "GET / HTTP/1.1\r\nAccept: x\r\n\r\n",
    "GET / HTTP/1.1\nHost: a\n\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD "X: a\rb\r\n\r\n"),
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD "X: a\r\n folded\r\n\r\n"),
    ("GET / HTTP/1.1\r\n folded\r\n" FW_HOST_FIELD "\r\n"),
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD ": none\r\n\r\n"),
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD "no colon\r\n\r\n"),
    ("GET / HTTP/1.1\r\n" FW_HOST_FIELD "X\x01: a\r\n\r\n"),
    ("GET  / HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET /  HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET /a b HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET /\xc3\xa9 HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET /a#b HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET a HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET http://a.example/ HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("OPTIONS * HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("CONNECT a.example:80 HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET / HTTP/2.0\r\n" FW_HOST_FIELD "\r\n"),
    ("GET / HTTP/1.2\r\n" FW_HOST_FIELD "\r\n"),
    ("GET / http/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("GET /\r\n" FW_HOST_FIELD "\r\n"),
    (" GET / HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("\r\nGET / HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    ("G(T / HTTP/1.1\r\n" FW_HOST_FIELD "\r\n"),
    "\x16\x03\x01\x02\r\n\r\n",
};
