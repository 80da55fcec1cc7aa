#define _GNU_SOURCE
#include "store.h"

#include <arpa/inet.h>
#include <endian.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http.h"

#define TOPICS_MAX 16
#define RECORDS_MAX 200000
#define PAGE_ITEMS 500
#define ANSWER_MS 4

struct record {
    char *key;
    char *value;
    size_t len;
};

struct topic {
    char name[64];
    struct record *records;
    size_t n;
};

static struct topic topics[TOPICS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;

static struct topic *
get_topic(const char *name)
{
    for (int i = 0; i < TOPICS_MAX; i++) {
        struct topic *t = &topics[i];

        if (!t->name[0]) {
            snprintf(t->name, sizeof(t->name), "%s", name);
            t->records = calloc(RECORDS_MAX, sizeof(struct record));
        }
        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    abort();
}

static int
is_keyed(const struct topic *t)
{
    return strncmp(t->name, "keyed.", 6) == 0;
}

static void
append(struct topic *t, const char *key, size_t key_len, const char *value,
       size_t len)
{
    struct record *r = &t->records[t->n++];

    if (t->n == RECORDS_MAX) {
        abort();
    }
    r->key = strndup(key, key_len);
    r->value = malloc(len + 1);
    memcpy(r->value, value, len);
    r->len = len;
    pthread_cond_broadcast(&changed);
}

void
store_put(const char *topic, const char *key, const char *value)
{
    pthread_mutex_lock(&lock);
    append(get_topic(topic), key, strlen(key), value ? value : "",
           value ? strlen(value) : 0);
    pthread_mutex_unlock(&lock);
}

static void
handle_append(struct http_conn *c, const struct http_msg *m, struct topic *t)
{
    char text[64];
    char out[96];
    size_t first;
    const char *p = m->body;
    size_t left = m->body_len;

    pthread_mutex_lock(&lock);
    if (http_query(m, "At", text, sizeof(text)) &&
        strtoull(text, NULL, 10) != t->n) {
        snprintf(out, sizeof(out), "{\"EndOffset\":%zu}", t->n);
        pthread_mutex_unlock(&lock);
        http_answer(c, 412, "Content-Type: application/json\r\n", out,
                    strlen(out));
        return;
    }
    first = t->n;
    while (left >= 4) {
        uint32_t n;

        memcpy(&n, p, 4);
        n = ntohl(n);
        p += 4;
        left -= 4;
        if (n > left) {
            break;
        }
        if (is_keyed(t)) {
            size_t k = (unsigned char)p[0];

            append(t, p + 1, k, p + 1 + k, n - 1 - k);
        }
        else {
            append(t, "", 0, p, n);
        }
        p += n;
        left -= n;
    }
    snprintf(out, sizeof(out), "{\"Offset\":%zu,\"EndOffset\":%zu}", first,
             t->n);
    pthread_mutex_unlock(&lock);
    http_answer(c, 200, "Content-Type: application/json\r\n", out,
                strlen(out));
}

static void
add_record(const struct topic *t, const struct record *r, char **out,
           size_t *len)
{
    size_t key_len = is_keyed(t) ? 1 + strlen(r->key) : 0;
    uint32_t n = (uint32_t)(key_len + r->len);
    uint32_t be = htonl(n);

    *out = realloc(*out, *len + 4 + n);
    memcpy(*out + *len, &be, 4);
    *len += 4;
    if (key_len) {
        (*out)[(*len)++] = (char)(key_len - 1);
        memcpy(*out + *len, r->key, key_len - 1);
        *len += key_len - 1;
    }
    memcpy(*out + *len, r->value, r->len);
    *len += r->len;
}

static void
handle_read(struct http_conn *c, const struct http_msg *m, struct topic *t)
{
    char text[64];
    size_t from = 0;
    int64_t wait = 0;
    struct timespec until;
    char *out = malloc(16);
    size_t len = 16;
    uint64_t be;

    if (http_query(m, "From", text, sizeof(text))) {
        from = strtoull(text, NULL, 10);
    }
    if (http_query(m, "WaitMs", text, sizeof(text))) {
        wait = atoll(text);
    }
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait / 1000;
    until.tv_nsec += wait % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    pthread_mutex_lock(&lock);
    while (from >= t->n && wait &&
           pthread_cond_timedwait(&changed, &lock, &until) == 0) {
    }
    be = htobe64(t->n);
    memcpy(out, &be, 8);
    memset(out + 8, 0, 8);
    for (size_t i = from; i < t->n && len < 1000000; i++) {
        add_record(t, &t->records[i], &out, &len);
    }
    pthread_mutex_unlock(&lock);
    http_answer(c, 200, "Content-Type: application/octet-stream\r\n", out,
                len);
    free(out);
}

static void
add_base64(FILE *out, const char *data, size_t len)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = 0;
        int n = len - i < 3 ? (int)(len - i) : 3;

        for (int k = 0; k < 3; k++) {
            v = v << 8 | (k < n ? (unsigned char)data[i + (size_t)k] : 0);
        }
        for (int k = 0; k < 4; k++) {
            fputc(k <= n ? digits[v >> (18 - 6 * k) & 63] : '=', out);
        }
    }
}

/* Return: the newest record with a value of each key, sorted by key. */
static int
compare_keys(const void *a, const void *b)
{
    const struct record *const *x = a;
    const struct record *const *y = b;

    return strcmp((*x)->key, (*y)->key);
}

static void
handle_newest(struct http_conn *c, const struct http_msg *m, struct topic *t)
{
    char after[512];
    struct record **all;
    size_t n = 0;
    size_t items = 0;
    int has_more = 0;
    char *text;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    http_query(m, "after", after, sizeof(after));
    pthread_mutex_lock(&lock);
    all = calloc(t->n + 1, sizeof(*all));
    for (size_t i = t->n; i-- > 0;) {
        struct record *r = &t->records[i];
        size_t k = 0;

        while (k < n && strcmp(all[k]->key, r->key) != 0) {
            k++;
        }
        if (k == n) {
            all[n++] = r;
        }
    }
    qsort(all, n, sizeof(*all), compare_keys);
    fprintf(out, "{\"items\":[");
    for (size_t i = 0; i < n; i++) {
        if (!all[i]->len || (after[0] && strcmp(all[i]->key, after) <= 0)) {
            continue;
        }
        if (items == PAGE_ITEMS) {
            has_more = 1;
            break;
        }
        fprintf(out, "%s{\"Key\":\"%s\",\"Value\":\"", items++ ? "," : "",
                all[i]->key);
        add_base64(out, all[i]->value, all[i]->len);
        fprintf(out, "\",\"Offset\":%zu}", (size_t)(all[i] - t->records));
    }
    fprintf(out, "],\"HasMore\":%s,\"EndOffset\":%zu}",
            has_more ? "true" : "false", t->n);
    pthread_mutex_unlock(&lock);
    fclose(out);
    free(all);
    http_answer(c, 200, "Content-Type: application/json\r\n", text, len);
    free(text);
}

static void *
serve(void *arg)
{
    struct http_conn c;
    struct http_msg m;

    http_open(&c, (int)(intptr_t)arg);
    while (http_read_request(&c, &m) == 0) {
        char name[64];

        sleep_ms(ANSWER_MS);
        if (!http_query(&m, "Topic", name, sizeof(name))) {
            http_answer(&c, 400, "", "", 0);
        }
        else {
            struct topic *t;

            pthread_mutex_lock(&lock);
            t = get_topic(name);
            pthread_mutex_unlock(&lock);
            if (http_is(&m, "POST", "/-/log-append?")) {
                handle_append(&c, &m, t);
            }
            else if (http_is(&m, "GET", "/-/log-read?")) {
                handle_read(&c, &m, t);
            }
            else if (http_is(&m, "GET", "/-/log-newest?")) {
                handle_newest(&c, &m, t);
            }
            else {
                http_answer(&c, 404, "", "", 0);
            }
        }
        http_msg_free(&m);
    }
    http_close(&c);
    return NULL;
}

static void *
accept_all(void *arg)
{
    int fd;

    while ((fd = accept((int)(intptr_t)arg, NULL, NULL)) >= 0) {
        pthread_t id;

        if (pthread_create(&id, NULL, serve, (void *)(intptr_t)fd) == 0) {
            pthread_detach(id);
        }
        else {
            close(fd);
        }
    }
    return NULL;
}

int
store_start(void)
{
    pthread_condattr_t attr;
    pthread_t id;
    int port;
    int fd = listen_any(&port);

    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attr);
    pthread_create(&id, NULL, accept_all, (void *)(intptr_t)fd);
    pthread_detach(id);
    return port;
}
