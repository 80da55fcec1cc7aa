/* Limits that the machine sets for this process. */
#ifndef FW_IO_MACHINE_LIMITS_H
#define FW_IO_MACHINE_LIMITS_H

#include <stdint.h>

/**
 * Fw_MachineLimits_Memory - the memory that this process may use.
 * @root: directory that contains proc/ and sys/, "" for those of the machine
 *
 * Return: the least limit of the process's control groups (version 2, or the
 * memory controller of version 1), at most the machine's memory, in bytes; 0
 * if none of these can be read.
 */
int64_t
Fw_MachineLimits_Memory(const char *root);
/* The most files that this process may open, at its hard limit; 0 for any. */
int64_t
Fw_MachineLimits_Files(void);

#endif
