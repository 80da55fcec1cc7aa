/* Validation of msgpack data before it is passed to msgpack-c. */
#ifndef FW_CORE_PACK_SCAN_H
#define FW_CORE_PACK_SCAN_H

#include <stddef.h>
#include <stdint.h>

/**
 * Fw_PackScan_IsSane - nonzero when @data can be passed to msgpack-c.
 *
 * msgpack-c allocates an array of the declared size before it has read any
 * element, so five bytes from a faulty peer could make it allocate gigabytes.
 * As each element takes at least one byte, the element counts declared by all
 * headers together must not exceed @len.
 */
int
Fw_PackScan_IsSane(const uint8_t *data, size_t len);

#endif
