/* Whether a request may have been executed by an upstream. */
#ifndef FW_BASE_RAN_H
#define FW_BASE_RAN_H

/**
 * enum fw_ran - whether a request ran; decides if it is safe to retry.
 * @FW_RAN_NO: no upstream has started to execute it
 * @FW_RAN_MAYBE: bytes of it were sent, but the outcome is unknown
 * @FW_RAN_YES: an upstream has responded that it ran
 */
enum fw_ran {
    FW_RAN_NO,
    FW_RAN_MAYBE,
    FW_RAN_YES,
};

/* The value of @ran on the wire and in log lines. */
static inline const char *
Fw_Ran_Name(enum fw_ran ran)
{
    static const char *const names[] = {"no", "maybe", "yes"};
    return names[ran];
}

#endif
