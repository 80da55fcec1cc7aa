/* The settings file of an instance. */
#ifndef FW_DAEMON_SETTINGS_H
#define FW_DAEMON_SETTINGS_H

#include "io/shell.h"
#include "node/node.h"

/** struct fw_settings - validated settings, in the units of the code. */
struct fw_settings {
    struct fw_shell_opts shell;
    struct fw_node_opts node;
};

/**
 * Fw_Settings_Load - loads and validates the INI file @path.
 * @out: to be cleared with Fw_Settings_Clear when 0 is returned
 * @error: when -EINVAL is returned, a message with the file and, where they
 *         apply, the group and key; to be freed with g_free
 *
 * Return: 0 or -EINVAL.
 */
int
Fw_Settings_Load(const char *path, struct fw_settings *out, char **error);
void
Fw_Settings_Clear(struct fw_settings *s);

#endif
