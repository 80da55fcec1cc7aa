/* Shared by the files of the idempotency environment. */
#ifndef FW_EXPLORE_P_IDEM_MAIL_H
#define FW_EXPLORE_P_IDEM_MAIL_H

#include "explore/p_idem_env.h"

/* From one instance to another, or to the log. */
#define FW_BED_HOP_US (1 * FW_MSEC)

enum idem_mail_kind {
    FW_MAIL_APPEND, /* reaches the log */
    FW_MAIL_READ,
    FW_MAIL_APPENDED, /* reaches an instance */
    FW_MAIL_RECORDS,
    FW_MAIL_MSG,
};

/** struct idem_mail - something under way. */
struct idem_mail {
    enum idem_mail_kind kind;
    int64_t at_us;
    int site;
    uint64_t boot;
    uint64_t ticket;
    int part;
    uint64_t from;
    int max;
    char **records;
    int n;
    int err;
    uint64_t first;
    uint64_t oldest;
    uint64_t end;
    int64_t sent_us;
    char sender[FW_NAME_MAX];
    struct fw_msg msg;
};

struct idem_mail *
Fw_IdemEnv_Post(struct fw_idem_env *b, enum idem_mail_kind kind, int site,
                int64_t delay_us);
/* p_idem_log.c: what reaches the log. */
void
Fw_IdemEnv_TakeAppend(struct fw_idem_env *b, struct idem_mail *m);
void
Fw_IdemEnv_TakeRead(struct fw_idem_env *b, const struct idem_mail *m);

#endif
