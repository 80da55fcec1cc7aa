/* Settings in INI files, read by a table of keys and checked as a whole. */
#ifndef FW_DAEMON_INI_H
#define FW_DAEMON_INI_H

#include <gio/gio.h>
#include <stddef.h>
#include <stdint.h>

#include "base/limits.h"

/** enum fw_ini_kind - how a key's value is read, and into what. */
enum fw_ini_kind {
    FW_INI_NAME,    /* char[FW_NAME_MAX] */
    FW_INI_LISTEN,  /* char[FW_URL_MAX]: "ip:port", port 0 for any */
    FW_INI_PEERS,   /* the same, but an address that others can reach */
    FW_INI_URL,     /* char[FW_URL_MAX]: http://... */
    FW_INI_PATH,    /* char[FW_URL_MAX]: begins with a slash */
    FW_INI_SECRET,  /* GBytes *, from hex */
    FW_INI_CHOICE,  /* int64_t: index of a word */
    FW_INI_INT,     /* int64_t: whole number between min and max */
    FW_INI_DECIMAL, /* int64_t: millionths of a number, min and max too */
    FW_INI_FLOOR,   /* int64_t: a number, rounded down to a whole one */
};

/**
 * struct fw_ini_key - one key of a file.
 * @fallback: text of the default, NULL when the key must be given
 * @at: where the value goes in the struct of values
 * @words: of FW_INI_CHOICE, ends with NULL
 */
struct fw_ini_key {
    const char *group;
    const char *name;
    enum fw_ini_kind kind;
    const char *fallback;
    int64_t min;
    int64_t max;
    size_t at;
    const char *const *words;
};

/* Rows of a table; @at: offset of the value. */
#define FW_INI_NUMBER(group, key, fallback, min, max, at)                     \
    {                                                                         \
        group, key, FW_INI_INT, fallback, min, max, at, NULL                  \
    }
#define FW_INI_TEXT(group, key, kind, fallback, at)                           \
    {                                                                         \
        group, key, kind, fallback, 0, 0, at, NULL                            \
    }

/**
 * Fw_Ini_Load - reads the file @path into @values.
 * @error: what is wrong, naming file, group and key; to be freed
 *
 * An empty value of a key with a default counts as not given. DECIMAL and
 * FLOOR take true and false as 1 and 0. Unknown groups
 * and keys are errors.
 *
 * Return: 0 or -EINVAL.
 */
int
Fw_Ini_Load(const char *path, const struct fw_ini_key *keys, size_t n,
            void *values, char **error);
/* Nonzero when the file can be read and has @group. */
int
Fw_Ini_HasGroup(const char *path, const char *group);

#endif
