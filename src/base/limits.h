/* Buffer sizes and time units shared by all subsystems. */
#ifndef FW_BASE_LIMITS_H
#define FW_BASE_LIMITS_H

/* Buffer sizes in bytes, including the terminating NUL. */
#define FW_NAME_MAX 48  /* instance, upstream, team, model, pool, service */
#define FW_URL_MAX 96   /* http://[ipv6]:port and a short prefix */
#define FW_ID_MAX 80    /* request id, idempotency key */
#define FW_HOST_MAX 256 /* host name of a request */
#define FW_PATH_MAX 512 /* path of a request, as far as routes are chosen */

/* Microseconds in a second and in a millisecond. */
#define FW_SEC 1000000LL
#define FW_MSEC 1000LL

#endif
