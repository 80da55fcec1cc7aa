/* Loads and validates an INI settings file according to a table of keys. */
#ifndef FW_DAEMON_INI_H
#define FW_DAEMON_INI_H

#include <gio/gio.h>
#include <stddef.h>
#include <stdint.h>

#include "base/limits.h"

/** enum fw_ini_kind - format of a value, and the type it is stored as. */
enum fw_ini_kind {
    FW_INI_NAME, /* char[FW_NAME_MAX] */
    FW_INI_ADDR, /* char[FW_URL_MAX]: "ip:port", port 0 for any free one */
    FW_INI_REACHABLE_ADDR, /* char[FW_URL_MAX]: "ip:port", no wildcard */
    FW_INI_URL,     /* char[FW_URL_MAX]: http://..., without a final slash */
    FW_INI_PATH,    /* char[FW_URL_MAX]: begins with a slash */
    FW_INI_SECRET,  /* GBytes *, from hex */
    FW_INI_CHOICE,  /* int64_t: index into @choices */
    FW_INI_INT,     /* int64_t: integer from @min to @max */
    FW_INI_DECIMAL, /* int64_t: millionths of a decimal number */
    FW_INI_FLOOR,   /* int64_t: decimal number, rounded down */
    FW_INI_PAIRS,   /* struct fw_ini_pairs: "name:value,..." */
};

#define FW_INI_PAIRS_MAX 64

/** struct fw_ini_pairs - a list of @n pairs. */
struct fw_ini_pairs {
    int n;
    struct {
        char name[FW_NAME_MAX];
        char value[FW_NAME_MAX];
    } pairs[FW_INI_PAIRS_MAX];
};

/**
 * struct fw_ini_key - describes a key.
 * @default_text: default value as in a file, NULL when the key is required
 * @min: least value of a number, in the unit it is stored in
 * @max: greatest value of a number, in the same unit
 * @offset: offset of the value in the struct that is filled in
 * @choices: accepted values of FW_INI_CHOICE, terminated by NULL
 */
struct fw_ini_key {
    const char *group;
    const char *name;
    enum fw_ini_kind kind;
    const char *default_text;
    int64_t min;
    int64_t max;
    size_t offset;
    const char *const *choices;
};

/* Initialisers of struct fw_ini_key. */
#define FW_INI_NUMBER(group, key, fallback, min, max, at)                     \
    {                                                                         \
        group, key, FW_INI_INT, fallback, min, max, at, NULL                  \
    }
#define FW_INI_TEXT(group, key, kind, fallback, at)                           \
    {                                                                         \
        group, key, kind, fallback, 0, 0, at, NULL                            \
    }

/**
 * Fw_Ini_Load - loads the file @path into the struct @values.
 * @keys: the @n keys that the file may have; others are errors
 * @error: set to NULL, or to a message with the file and, where they apply,
 *         the group and key; to be freed with g_free
 *
 * An empty value selects the default, if the key has one. FW_INI_DECIMAL and
 * FW_INI_FLOOR accept true and false as 1 and 0.
 *
 * Return: 0, or -EINVAL with an @error.
 */
int
Fw_Ini_Load(const char *path, const struct fw_ini_key *keys, size_t n,
            void *values, char **error);
/* Nonzero when the file @path can be parsed and has @group. */
int
Fw_Ini_HasGroup(const char *path, const char *group);

#endif
