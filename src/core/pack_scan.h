/* A look at msgpack before the library sees it. */
#ifndef FW_CORE_PACK_SCAN_H
#define FW_CORE_PACK_SCAN_H

#include <stddef.h>
#include <stdint.h>

/**
 * Fw_PackScan_IsSane - nonzero when @data may be handed to the library.
 *
 * The library allocates an array as large as its header claims before it has
 * seen one element, so five bytes of a faulty peer could ask for gigabytes.
 * It shows as a process that is killed for its memory. Each element takes a
 * byte at least, so all claims together can't exceed @len.
 */
int
Fw_PackScan_IsSane(const uint8_t *data, size_t len);

#endif
