/* Shared by the files that play a script; see script.c. */
#ifndef FW_TESTS_RELAY_PLAY_H
#define FW_TESTS_RELAY_PLAY_H

#include "relay/relay_internal.h"

#define FW_WORDS_MAX 16

/** struct play - a script under way; @word, @n: of the line in hand. */
struct play {
    struct fw_relay *r;
    struct fw_rl_acts acts;
    struct fw_relay_opts opts;
    GString *out;
    int64_t now_us;
    int logs; /* log lines are printed */
    int64_t lead_sent_us;
    uint64_t digest_seq;
    char *word[FW_WORDS_MAX];
    int n;
};

/* play_words.c */
/* Value of KEY=VALUE, or NULL. */
const char *
Fw_Play_Text(const struct play *p, const char *key);
int64_t
Fw_Play_Number(const struct play *p, const char *key, int64_t fallback);
int
Fw_Play_Has(const struct play *p, const char *word);
/* The line's word @i, which must be there, as a number. */
uint64_t
Fw_Play_Arg(const struct play *p, int i);

/* play_world.c: what the relay is told of the world; one a command. */
void
Fw_Play_Rules(struct play *p);
void
Fw_Play_Options(struct play *p);
void
Fw_Play_Server(struct play *p);
void
Fw_Play_Member(struct play *p);
void
Fw_Play_Spent(struct play *p);
void
Fw_Play_Lead(struct play *p);

#endif
