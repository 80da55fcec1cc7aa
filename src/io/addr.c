#include "io/addr.h"

#include <string.h>

GSocketAddress *
Fw_Addr_Parse(const char *text)
{
    const char *colon = strrchr(text, ':');
    guint64 port;
    char *host;
    GSocketAddress *out;

    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
        return NULL;
    }
    if (text[0] == '[' && colon > text + 2 && colon[-1] == ']') {
        host = g_strndup(text + 1, (gsize)(colon - text - 2));
    }
    else {
        host = g_strndup(text, (gsize)(colon - text));
    }
    out = g_inet_socket_address_new_from_string(host, (guint)port);
    g_free(host);
    return out;
}

void
Fw_Addr_Print(GSocketAddress *addr, char *out)
{
    GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(addr);
    char *ip =
        g_inet_address_to_string(g_inet_socket_address_get_address(inet));

    g_snprintf(out, FW_URL_MAX, strchr(ip, ':') ? "[%s]:%d" : "%s:%d", ip,
               g_inet_socket_address_get_port(inet));
    g_free(ip);
}
