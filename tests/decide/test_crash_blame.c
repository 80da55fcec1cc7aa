/* Scripted tests of what is blamed for crashes of servers. */
#include <stdlib.h>
#include <string.h>

#include "decide/crash_blame.h"
#include "tests/base/suite.h"

/*
 * Commands; times are in ms, keys are letters with their depth, w for a whole
 * request:
 *   crash SERVER TIME KEY:DEPTH[@SENT] ...
 *   refute SERVER TIME
 *   sound KEY BEGAN
 *   reported KEY CRASH COUNT    by another instance
 *   at TIME                     judges; prints the keys in quarantine
 */
struct blame_script {
    const char *name;
    const char *text;
};

static const struct blame_script scripts[] = {
    /* Guards against engine after engine being lost to one part. */
    {.name = "a part that three crashes have in common is put in quarantine",
     .text = "crash 1 0 a:0 p:1 x:2\n"
             "crash 2 400 a:0 p:1 y:2\n"
             "sound a 100\n"
             "sound a 450\n"
             "at 500\n"
             "crash 3 800 a:0 p:1 z:2\n"
             "at 900\n"
             "  p\n"},
    {.name = "the first part may be the culprit",
     .text = "sound b 0\n"
             "crash 1 1000 p:0 b:1\n"
             "crash 2 1400 p:0 c:1\n"
             "crash 3 1800 p:0 b:1\n"
             "at 1900\n"
             "  p\n"},
    /* Guards against blaming what all requests share, while few run well. */
    {.name = "a part that has run well before needs more crashes",
     .text = "sound a 0\n"
             "crash 1 1000 a:0 p:1\n"
             "crash 2 1400 a:0 p:1\n"
             "crash 3 1800 a:0 p:1\n"
             "at 1900\n"
             "  p\n"},
    {.name = "a part that ran well until now is blamed in the end",
     .text = "sound a 0\n"
             "crash 1 1000 a:0\n"
             "crash 2 1400 a:0\n"
             "crash 3 1800 a:0\n"
             "crash 4 2200 a:0\n"
             "at 2300\n"
             "crash 5 2600 a:0\n"
             "at 2700\n"
             "  a\n"},
    /* Guards against blaming the requests of a rack that loses power. */
    {.name = "servers that end at once count once",
     .text = "crash 1 0 a:0\n"
             "crash 2 50 a:0\n"
             "crash 3 100 a:0\n"
             "crash 4 150 a:0\n"
             "at 200\n"},
    {.name = "five crashes count, however close, against a part that has "
             "never run well",
     .text = "sound a -1\n"
             "crash 1 0 a:0 p:1\n"
             "crash 2 50 a:0 p:1\n"
             "crash 3 100 a:0 p:1\n"
             "crash 4 150 a:0 p:1\n"
             "crash 5 200 a:0 p:1\n"
             "at 250\n"
             "  p\n"},
    /* Guards against a request that its caller sends again at once. */
    {.name = "a whole request counts each time that it was sent again",
     .text = "crash 1 0 q:w@-50\n"
             "crash 2 100 q:w@50\n"
             "crash 3 200 q:w@150\n"
             "at 250\n"
             "  q\n"},
    {.name = "copies of a request that run side by side count once",
     .text = "crash 1 0 q:w@-50\n"
             "crash 2 100 q:w@-40\n"
             "crash 3 200 q:w@-30\n"
             "at 250\n"},
    {.name = "a request that is sent again is blamed before its parts",
     .text = "crash 1 0 a:0 q:w\n"
             "crash 2 1000 a:0 q:w\n"
             "crash 3 2000 a:0 q:w\n"
             "at 2100\n"
             "  q\n"},
    /* Guards against a mistake that lasts once the culprit is known. */
    {.name = "what was blamed first is released when another part explains "
             "all its crashes",
     .text = "crash 1 0 p:0 b:1\n"
             "crash 2 400 p:0 b:1\n"
             "crash 3 800 p:0 b:1\n"
             "at 900\n"
             "  b\n"
             "crash 4 1200 p:0 c:1\n"
             "at 1300\n"
             "  p\n"},
    /* Guards against a culprit that is forgotten as another key seemed it. */
    {.name = "what another key explained is blamed again when that is cleared",
     .text = "crash 1 0 p:0 w:w\n"
             "crash 2 400 p:0 x:1\n"
             "crash 3 800 p:0 w:w\n"
             "at 900\n"
             "  p\n"
             "crash 2 400 w:w\n"
             "at 1000\n"
             "  w\n"
             "sound w 950\n"
             "at 1100\n"
             "  p\n"},
    /* Guards against a part of all requests that stays refused for minutes. */
    {.name = "what all requests share is released when too few crashes are "
             "left after those that it was cleared of",
     .text = "crash 1 0 a:0 p:1\n"
             "crash 2 100 a:0 r:1\n"
             "crash 3 200 a:0 p:1\n"
             "crash 4 250 a:0 x:1\n"
             "crash 5 280 a:0 p:1\n"
             "at 300\n"
             "  a\n"
             "sound a 150\n"
             "at 2000\n"},
    {.name = "what another instance blames stays, though its crashes are not "
             "all known here",
     .text = "reported b 800 4\n"
             "crash 1 0 p:0 b:1\n"
             "crash 2 400 p:0 b:1\n"
             "crash 3 800 p:0 b:1\n"
             "crash 4 1200 p:0 c:1\n"
             "at 1300\n"
             "  b p\n"},
    {.name = "a request that began after the last crash and ran well ends the "
             "quarantine",
     .text = "crash 1 0 p:0\n"
             "crash 2 400 p:0\n"
             "crash 3 800 p:0\n"
             "sound p 700\n"
             "at 900\n"
             "crash 4 1200 p:0\n"
             "crash 5 1600 p:0\n"
             "crash 6 2000 p:0\n"
             "crash 7 2400 p:0\n"
             "crash 8 2800 p:0\n"
             "at 2900\n"
             "  p\n"
             "sound p 2850\n"
             "at 4000\n"},
    /* Guards against an instance whose own links take servers for ended. */
    {.name = "crashes of servers that have responded since count for nothing",
     .text = "crash 1 0 p:0\n"
             "crash 2 400 p:0\n"
             "crash 3 800 p:0\n"
             "refute 2 500\n"
             "at 900\n"
             "crash 2 400 p:0 x:1\n"
             "at 1000\n"},
    {.name = "a quarantine ends when one of its crashes was none",
     .text = "crash 1 0 p:0\n"
             "crash 2 400 p:0\n"
             "crash 3 800 p:0\n"
             "at 900\n"
             "  p\n"
             "refute 2 500\n"
             "at 1000\n"},
    {.name = "a quarantine ends ten minutes after the last crash, and returns "
             "with the next one",
     .text = "crash 1 0 p:0\n"
             "crash 2 400 p:0\n"
             "crash 3 800 p:0\n"
             "at 900\n"
             "  p\n"
             "at 600700\n"
             "  p\n"
             "at 600900\n"
             "crash 4 700000 p:0\n"
             "at 700100\n"
             "  p\n"},
    {.name = "a late report of another instance does not bring back what was "
             "released",
     .text = "reported p 1000 3\n"
             "at 1100\n"
             "  p\n"
             "sound p 1500\n"
             "at 3000\n"
             "reported p 4000 3\n"
             "at 4100\n"},
    {.name = "two culprits at the same time",
     .text = "sound a -10\n"
             "crash 1 0 a:0 p:1\n"
             "crash 2 400 a:0 r:1\n"
             "crash 3 800 a:0 p:1\n"
             "crash 4 1200 a:0 r:1\n"
             "crash 5 1600 a:0 p:1\n"
             "crash 6 2000 a:0 r:1\n"
             "at 2100\n"
             "  p r\n"},
};

/** struct blame_run - a script as it runs. */
struct blame_run {
    struct fw_blame blame;
    int64_t now_us;
    GString *out;
};

static int64_t
parse_ms(const char *word)
{
    return strtoll(word, NULL, 10) * FW_MSEC;
}

static struct fw_blame_key
parse_key(const char *word, int64_t at_us)
{
    const char *sent = strchr(word, '@');
    struct fw_blame_key key = {.hash = (uint64_t)word[0],
                               .depth = word[2] == 'w' ? FW_DEPTH_WHOLE
                                                       : atoi(word + 2),
                               .sent_us = at_us - FW_MSEC};

    if (sent) {
        key.sent_us = parse_ms(sent + 1);
    }
    return key;
}

static void
do_crash(struct blame_run *run, char **words)
{
    struct fw_blame_key keys[FW_CRASH_KEYS_MAX];
    int64_t at_us = parse_ms(words[2]);
    int n = 0;

    for (char **w = words + 3; *w; w++) {
        keys[n++] = parse_key(*w, at_us);
    }
    run->now_us = MAX(run->now_us, at_us);
    Fw_Blame_NoteCrash(&run->blame, strtoull(words[1], NULL, 10), at_us, keys,
                       n, run->now_us);
}

static int
compare_keys(const void *a, const void *b)
{
    return *(const char *)a - *(const char *)b;
}

static void
do_at(struct blame_run *run, char **words)
{
    GArray *changes =
        g_array_new(FALSE, FALSE, sizeof(struct fw_blame_change));
    char keys[FW_QUARANTINES_MAX + 1];
    int n = 0;

    run->now_us = parse_ms(words[1]);
    Fw_Blame_Judge(&run->blame, run->now_us, changes);
    g_array_unref(changes);
    for (int i = 0; i < run->blame.n_quarantines; i++) {
        uint64_t key = run->blame.quarantines[i].key;

        if (Fw_Blame_FindQuarantine(&run->blame, key, run->now_us)) {
            keys[n++] = (char)key;
        }
    }
    qsort(keys, (size_t)n, 1, compare_keys);
    for (int i = 0; i < n; i++) {
        g_string_append_printf(run->out, "%s%c", i ? " " : "  ", keys[i]);
    }
    g_string_append(run->out, n ? "\n" : "");
}

static void
run_line(struct blame_run *run, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    uint64_t key;

    g_assert_nonnull(words[0]);
    g_assert_nonnull(words[1]);
    key = (uint64_t)words[1][0];
    g_string_append_printf(run->out, "%s\n", line);
    if (strcmp(words[0], "crash") == 0) {
        do_crash(run, words);
    }
    else if (strcmp(words[0], "at") == 0) {
        do_at(run, words);
    }
    else if (strcmp(words[0], "sound") == 0) {
        Fw_Blame_NoteSound(&run->blame, key, parse_ms(words[2]), 0, 1,
                           run->now_us);
    }
    else if (strcmp(words[0], "refute") == 0) {
        Fw_Blame_Refute(&run->blame, strtoull(words[1], NULL, 10),
                        parse_ms(words[2]), run->now_us);
    }
    else {
        ck_assert_str_eq(words[0], "reported");
        Fw_Blame_MergeQuarantine(&run->blame, key, parse_ms(words[2]),
                                 atoi(words[3]), run->now_us);
    }
    g_strfreev(words);
}

START_TEST(the_right_key_is_blamed)
{
    struct blame_run run = {.out = g_string_new(NULL)};
    char **lines = g_strsplit(scripts[_i].text, "\n", -1);

    Fw_Blame_Init(&run.blame);
    for (char **l = lines; *l; l++) {
        if (**l && !g_str_has_prefix(*l, "  ")) {
            run_line(&run, *l);
        }
    }
    ck_assert_msg(strcmp(run.out->str, scripts[_i].text) == 0,
                  "%s\n--- wanted\n%s--- got\n%s", scripts[_i].name,
                  scripts[_i].text, run.out->str);
    Fw_Blame_Clear(&run.blame);
    g_string_free(run.out, TRUE);
    g_strfreev(lines);
}
END_TEST

/* Guards against memory that grows with parts that callers make up. */
START_TEST(memory_is_bounded)
{
    struct fw_blame *b = g_new0(struct fw_blame, 1);
    GArray *changes =
        g_array_new(FALSE, FALSE, sizeof(struct fw_blame_change));

    Fw_Blame_Init(b);
    for (uint64_t n = 1; n <= 1500; n++) {
        struct fw_blame_key keys[2] = {{.hash = n, .depth = 1},
                                       {.hash = 1000000 + n / 4, .depth = 0}};

        Fw_Blame_NoteSound(b, 2000000 + n, (int64_t)n, 0, 1, (int64_t)n);
        Fw_Blame_NoteCrash(b, n, (int64_t)n * FW_SEC, keys, 2,
                           (int64_t)n * FW_SEC);
        Fw_Blame_Judge(b, (int64_t)n * FW_SEC, changes);
    }
    ck_assert_int_le(b->n_crashes, FW_CRASHES_MAX);
    ck_assert_int_eq(b->n_quarantines, FW_QUARANTINES_MAX);
    ck_assert_uint_le(g_hash_table_size(b->sound), FW_SOUND_KEYS_MAX);
    ck_assert_ptr_nonnull(
        Fw_Blame_FindQuarantine(b, 1000000 + 374, 1500 * FW_SEC));
    Fw_Blame_Clear(b);
    g_array_unref(changes);
    g_free(b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crash blame");

    tcase_add_loop_test(tc, the_right_key_is_blamed, 0, G_N_ELEMENTS(scripts));
    tcase_add_test(tc, memory_is_bounded);
    return Fw_Suite_Run(tc);
}
