#include "daemon/ini.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "io/addr.h"

#define FW_SECRET_MIN_BYTES 16
#define FW_DECIMAL_SCALE 1e6 /* stored units per 1 of FW_INI_DECIMAL */

static char *
format_error(const char *path, const char *group, const char *name,
             const char *problem)
{
    return g_strdup_printf("%s: [%s] %s: %s", path, group, name, problem);
}

static const char *
parse_address(const char *text, int reachable, char *out)
{
    GSocketAddress *addr = Fw_Addr_Parse(text);
    int any;

    if (!addr || strlen(text) >= FW_URL_MAX) {
        g_clear_object(&addr);
        return "must be an IP address with a port, like 127.0.0.1:0";
    }
    any = g_inet_address_get_is_any(
        g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(addr)));
    g_object_unref(addr);
    if (reachable && any) {
        return "must be an address that other instances can connect to";
    }
    g_strlcpy(out, text, FW_URL_MAX);
    return NULL;
}

static const char *
parse_url(const char *text, char *out)
{
    GUri *uri = g_uri_parse(text, G_URI_FLAGS_NONE, NULL);
    int ok = uri && g_strcmp0(g_uri_get_scheme(uri), "http") == 0 &&
             g_uri_get_host(uri) && g_uri_get_host(uri)[0] &&
             !g_uri_get_query(uri) && !g_uri_get_fragment(uri);
    size_t len = strlen(text);

    if (uri) {
        g_uri_unref(uri);
    }
    if (!ok || len >= FW_URL_MAX) {
        return "must be a URL like http://127.0.0.1:8080";
    }
    g_strlcpy(out, text, FW_URL_MAX);
    if (out[len - 1] == '/') {
        out[len - 1] = '\0';
    }
    return NULL;
}

static const char *
parse_secret(const char *text, GBytes **out)
{
    size_t len = strlen(text);
    guint8 *data;

    if (len % 2 || len / 2 < FW_SECRET_MIN_BYTES) {
        return "must be at least 32 hex digits, two per byte";
    }
    data = g_malloc(len / 2);
    for (size_t i = 0; i < len; i++) {
        int digit = g_ascii_xdigit_value(text[i]);

        if (digit < 0) {
            g_free(data);
            return "must be hex digits";
        }
        data[i / 2] = (guint8)(i % 2 ? data[i / 2] << 4 | digit : digit);
    }
    *out = g_bytes_new_take(data, len / 2);
    return NULL;
}

static const char *
parse_path(const char *text, char *out)
{
    return text[0] == '/' && g_strlcpy(out, text, FW_URL_MAX) < FW_URL_MAX
               ? NULL
               : "must begin with a slash";
}

/* Return: NULL, or an error message to be followed by the choices. */
static const char *
parse_choice(const char *const *choices, const char *text, int64_t *out)
{
    for (int i = 0; choices[i]; i++) {
        if (strcmp(choices[i], text) == 0) {
            *out = i;
            return NULL;
        }
    }
    return "must be";
}

/* Parses a number, or true and false as 1 and 0. Return: 0 or -EINVAL. */
static int
parse_number(const char *text, double *out)
{
    char *end;

    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
        *out = text[0] == 't';
        return 0;
    }
    *out = g_ascii_strtod(text, &end);
    return end == text || *end || !isfinite(*out) ? -EINVAL : 0;
}

static const char *
parse_scaled(const struct fw_ini_key *key, const char *text, double scale,
             int64_t *out)
{
    double v;

    if (parse_number(text, &v)) {
        return "must be a number";
    }
    v = floor(v * scale);
    if (v < (double)key->min || v > (double)key->max) {
        return "is out of bounds";
    }
    *out = (int64_t)v;
    return NULL;
}

static const char *
parse_name(const char *text, char *out)
{
    for (const char *c = text; *c; c++) {
        if (!g_ascii_isalnum(*c) && !strchr("-_", *c)) {
            return "must be letters, digits, - and _ only";
        }
    }
    return text[0] && g_strlcpy(out, text, FW_NAME_MAX) < FW_NAME_MAX
               ? NULL
               : "must be 1 to 47 characters";
}

static const char *
parse_pairs(const char *text, struct fw_ini_pairs *out)
{
    static const char problem[] =
        "must be NAME:VALUE pairs, separated by commas";
    g_auto(GStrv) words = g_strsplit(text, ",", -1);

    out->n = 0;
    for (char **w = words; *w; w++) {
        char *value = strchr(*w, ':');

        if (!value || out->n == FW_INI_PAIRS_MAX) {
            return problem;
        }
        *value++ = 0;
        if (parse_name(*w, out->pairs[out->n].name) ||
            parse_name(value, out->pairs[out->n].value)) {
            return problem;
        }
        out->n++;
    }
    return NULL;
}

/* Return: NULL, or an error message. */
static const char *
parse_value(const struct fw_ini_key *key, const char *text, void *at)
{
    switch (key->kind) {
    case FW_INI_NAME:
        return parse_name(text, at);
    case FW_INI_ADDR:
        return parse_address(text, 0, at);
    case FW_INI_REACHABLE_ADDR:
        return parse_address(text, 1, at);
    case FW_INI_URL:
        return parse_url(text, at);
    case FW_INI_SECRET:
        return parse_secret(text, at);
    case FW_INI_PATH:
        return parse_path(text, at);
    case FW_INI_PAIRS:
        return parse_pairs(text, at);
    case FW_INI_CHOICE:
        return parse_choice(key->choices, text, at);
    case FW_INI_DECIMAL:
        return parse_scaled(key, text, FW_DECIMAL_SCALE, at);
    case FW_INI_FLOOR:
        return parse_scaled(key, text, 1.0, at);
    case FW_INI_INT:
        return g_ascii_string_to_signed(text, 10, key->min, key->max, at, NULL)
                   ? NULL
                   : "must be a whole number";
    }
    return "unknown kind";
}

/* Error message of FW_INI_CHOICE, which lists the choices. */
static char *
format_choice_error(const char *path, const struct fw_ini_key *key,
                    const char *problem)
{
    GString *text = g_string_new(problem);
    char *out;

    for (int i = 0; key->choices[i]; i++) {
        const char *sep = i == 0 ? " " : key->choices[i + 1] ? ", " : " or ";

        g_string_append_printf(text, "%s%s", sep, key->choices[i]);
    }
    out = format_error(path, key->group, key->name, text->str);
    g_string_free(text, TRUE);
    return out;
}

/* Error message of an invalid value, with the bounds of a number. */
static char *
format_value_error(const char *path, const struct fw_ini_key *key,
                   const char *problem)
{
    double unit = key->kind == FW_INI_DECIMAL ? FW_DECIMAL_SCALE : 1.0;
    char *text;
    char *out;

    if (key->kind == FW_INI_CHOICE) {
        return format_choice_error(path, key, problem);
    }
    if (key->kind != FW_INI_INT && key->kind != FW_INI_FLOOR &&
        key->kind != FW_INI_DECIMAL) {
        return format_error(path, key->group, key->name, problem);
    }
    text = g_strdup_printf("%s from %.15g to %.15g", problem,
                           (double)key->min / unit, (double)key->max / unit);
    out = format_error(path, key->group, key->name, text);
    g_free(text);
    return out;
}

static char *
read_key(const char *path, GKeyFile *file, const struct fw_ini_key *key,
         void *values)
{
    char *text = g_key_file_get_string(file, key->group, key->name, NULL);
    const char *problem;
    char *error = NULL;

    if (!text && g_key_file_has_key(file, key->group, key->name, NULL)) {
        return format_error(path, key->group, key->name, "is not valid UTF-8");
    }
    if (text && !text[0] && key->default_text) {
        g_clear_pointer(&text, g_free);
    }
    if (!text && !key->default_text) {
        return format_error(path, key->group, key->name, "is missing");
    }
    problem = parse_value(key, text ? text : key->default_text,
                          (char *)values + key->offset);
    if (problem) {
        error = format_value_error(path, key, problem);
    }
    g_free(text);
    return error;
}

/** struct key_table - the keys that a file may have. */
struct key_table {
    const struct fw_ini_key *keys;
    size_t n;
};

static int
is_known(const struct key_table *t, const char *group, const char *name)
{
    for (size_t i = 0; i < t->n; i++) {
        if (strcmp(t->keys[i].group, group) == 0 &&
            (!name || strcmp(t->keys[i].name, name) == 0)) {
            return 1;
        }
    }
    return 0;
}

static char *
find_unknown_key(const char *path, GKeyFile *file, const struct key_table *t,
                 const char *group)
{
    char **names = g_key_file_get_keys(file, group, NULL, NULL);
    char *error = NULL;

    for (char **n = names; n && *n && !error; n++) {
        if (!is_known(t, group, *n)) {
            error = format_error(path, group, *n, "is not a known key");
        }
    }
    g_strfreev(names);
    return error;
}

static char *
find_unknown(const char *path, GKeyFile *file, const struct key_table *t)
{
    char **groups = g_key_file_get_groups(file, NULL);
    char *error = NULL;

    for (char **g = groups; *g && !error; g++) {
        error =
            is_known(t, *g, NULL)
                ? find_unknown_key(path, file, t, *g)
                : g_strdup_printf("%s: [%s] is not a known group", path, *g);
    }
    g_strfreev(groups);
    return error;
}

static char *
read_all(const char *path, GKeyFile *file, const struct key_table *t,
         void *values)
{
    char *error = find_unknown(path, file, t);

    for (size_t i = 0; i < t->n && !error; i++) {
        error = read_key(path, file, &t->keys[i], values);
    }
    return error;
}

int
Fw_Ini_Load(const char *path, const struct fw_ini_key *keys, size_t n,
            void *values, char **error)
{
    const struct key_table t = {keys, n};
    GKeyFile *file = g_key_file_new();
    GError *err = NULL;

    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &err)) {
        *error = g_strdup_printf("%s: %s", path, err->message);
        g_error_free(err);
    }
    else {
        *error = read_all(path, file, &t, values);
    }
    g_key_file_free(file);
    return *error ? -EINVAL : 0;
}

int
Fw_Ini_HasGroup(const char *path, const char *group)
{
    GKeyFile *file = g_key_file_new();
    int found = g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, NULL) &&
                g_key_file_has_group(file, group);

    g_key_file_free(file);
    return found;
}
