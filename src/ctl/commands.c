/* Subcommands that change the configuration; each sends one change. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/* Updates the given members of an item, or creates it. */
static int
set_item(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
         const struct fw_args *args)
{
    JsonObject *value;
    uint64_t item_version;
    int rc = Fw_Ctl_FetchItem(ctl, cmd->kind, args->operands[0], &item_version,
                              &value);

    if (rc == 0 && Fw_Ctl_SetMembers(cmd, args, value)) {
        rc = FW_EXIT_INVALID;
    }
    if (rc) {
        json_object_unref(value);
        return rc;
    }
    return Fw_Ctl_SendItem(ctl, cmd->kind, args->operands[0], item_version,
                           value);
}

static int
report_missing_item(const struct fw_subcommand *cmd, const char *name)
{
    fprintf(stderr, "fuchsiaward: no %s %s\n", Fw_Item_KindName(cmd->kind),
            name);
    return FW_EXIT_INVALID;
}

static int
remove_item(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
            const struct fw_args *args)
{
    JsonObject *value;
    uint64_t item_version;
    int rc = Fw_Ctl_FetchItem(ctl, cmd->kind, args->operands[0], &item_version,
                              &value);

    json_object_unref(value);
    if (rc) {
        return rc;
    }
    if (item_version == 0) {
        return report_missing_item(cmd, args->operands[0]);
    }
    return Fw_Ctl_SendItem(ctl, cmd->kind, args->operands[0], item_version,
                           NULL);
}

static int
set_flag(struct fw_ctl *ctl, const struct fw_subcommand *cmd, const char *name,
         const char *member, int on)
{
    JsonObject *value;
    uint64_t item_version;
    int rc = Fw_Ctl_FetchItem(ctl, cmd->kind, name, &item_version, &value);

    if (rc == 0 && item_version == 0) {
        rc = report_missing_item(cmd, name);
    }
    if (rc) {
        json_object_unref(value);
        return rc;
    }
    json_object_set_boolean_member(value, member, on);
    return Fw_Ctl_SendItem(ctl, cmd->kind, name, item_version, value);
}

static int
drain(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
      const struct fw_args *args)
{
    return set_flag(ctl, cmd, args->operands[0], "drained", 1);
}

static int
undrain(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
        const struct fw_args *args)
{
    return set_flag(ctl, cmd, args->operands[0], "drained", 0);
}

/* Prints a new key on standard output if the change was applied. */
static int
print_new_key(int rc, const char *key, const char *digest)
{
    if (rc == FW_EXIT_OK || rc == FW_EXIT_WAIT_TIMEOUT) {
        printf("%s\n", key);
        fprintf(stderr,
                "digest %s\nStore the key now, it can't be shown again.\n",
                digest);
    }
    else if (rc == FW_EXIT_UNKNOWN) {
        fprintf(stderr,
                "fuchsiaward: the key may have been created; if `show keys "
                "%s' lists it, withdraw it and create a new one\n",
                digest);
    }
    return rc;
}

static int
create_key(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
           const struct fw_args *args)
{
    char *key = Fw_Ctl_NewKey();
    char digest[FW_DIGEST_HEX_SIZE];
    JsonObject *value = json_object_new();
    int rc;

    Fw_Hash_KeyDigest(key, digest);
    json_object_set_string_member(value, "team", args->operands[0]);
    rc = print_new_key(Fw_Ctl_SendItem(ctl, cmd->kind, digest, 0, value), key,
                       digest);
    g_free(key);
    return rc;
}

/* Stores the digest @word, or for "-" the digest of the key on standard input,
 * which keeps the key out of the process list and the shell's history. */
static int
read_digest(const char *word, char *digest)
{
    char line[256];

    if (strcmp(word, "-") != 0) {
        if (!Fw_Digest_IsValid(word)) {
            fputs("fuchsiaward: expected a digest of 64 hex digits, or - to "
                  "read the key from standard input\n",
                  stderr);
            return -EINVAL;
        }
        g_strlcpy(digest, word, FW_DIGEST_HEX_SIZE);
        return 0;
    }
    if (!fgets(line, sizeof(line), stdin)) {
        return -EINVAL;
    }
    Fw_Hash_KeyDigest(g_strstrip(line), digest);
    return 0;
}

static int
withdraw_key(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
             const struct fw_args *args)
{
    char digest[FW_DIGEST_HEX_SIZE];

    if (read_digest(args->operands[0], digest)) {
        return FW_EXIT_INVALID;
    }
    return set_flag(ctl, cmd, digest, "withdrawn", 1);
}

static int
create_operator_key(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                    const struct fw_args *args)
{
    char *key = Fw_Ctl_NewKey();
    char digest[FW_DIGEST_HEX_SIZE];
    JsonObject *value;
    uint64_t item_version;
    int rc = Fw_Ctl_FetchItem(ctl, cmd->kind, args->operands[0], &item_version,
                              &value);

    Fw_Hash_KeyDigest(key, digest);
    if (rc == 0) {
        json_object_set_string_member(value, "digest", digest);
        json_object_set_boolean_member(value, "withdrawn", FALSE);
        rc = print_new_key(Fw_Ctl_SendItem(ctl, cmd->kind, args->operands[0],
                                           item_version, value),
                           key, digest);
    }
    else {
        json_object_unref(value);
    }
    g_free(key);
    return rc;
}

static int
withdraw_operator(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                  const struct fw_args *args)
{
    return set_flag(ctl, cmd, args->operands[0], "withdrawn", 1);
}

/* Prints the record that creates the first operator. It has to be appended
 * with the log's own client, since no instance accepts changes while there is
 * no operator. */
static int
print_first_operator(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                     const struct fw_args *args)
{
    char *key = Fw_Ctl_NewKey();
    char digest[FW_DIGEST_HEX_SIZE];
    char id[FW_CHANGE_ID_MAX];
    GDateTime *now = g_date_time_new_now_utc();
    char *at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");

    (void)ctl;
    (void)cmd;
    Fw_Hash_KeyDigest(key, digest);
    Fw_Ctl_NewChangeId(id);
    printf("{\"v\":1,\"id\":\"%s\",\"who\":\"%s\",\"at\":\"%s\",\"items\":["
           "{\"kind\":\"operator\",\"name\":\"%s\",\"was\":0,\"value\":"
           "{\"digest\":\"%s\"}}]}\n",
           id, args->operands[0], at, args->operands[0], digest);
    fprintf(stderr, "Append this record to stream config.\nThe key: %s\n",
            key);
    g_free(at);
    g_date_time_unref(now);
    g_free(key);
    return FW_EXIT_OK;
}

static int
set_setting(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
            const struct fw_args *args)
{
    JsonObject *value;
    uint64_t item_version;
    int rc = Fw_Ctl_FetchItem(ctl, cmd->kind, args->operands[0], &item_version,
                              &value);

    if (rc) {
        json_object_unref(value);
        return rc;
    }
    json_object_set_string_member(value, "value", args->operands[1]);
    return Fw_Ctl_SendItem(ctl, cmd->kind, args->operands[0], item_version,
                           value);
}

/* Sends a change read from a JSON file: {"items":[...]}. */
static int
send_change_file(struct fw_ctl *ctl, const struct fw_subcommand *cmd,
                 const struct fw_args *args)
{
    struct fw_response resp;
    char *text;
    gsize len;
    int rc;

    if (!g_file_get_contents(args->operands[0], &text, &len, NULL)) {
        fprintf(stderr, "fuchsiaward: cannot read %s\n", args->operands[0]);
        return FW_EXIT_FAILED;
    }
    rc = Fw_Ctl_SendChange(ctl, cmd->path, text, len, &resp);
    Fw_Response_Clear(&resp);
    g_free(text);
    return rc;
}

static const struct fw_option team_options[] = {
    {"rate", "TOKENS", "Tokens per second for the whole fleet", "rate",
     FW_OPT_NUMBER},
    {"burst", "TOKENS", "Tokens that may be used at once", "burst",
     FW_OPT_NUMBER},
    {"priority", "0-9", "Higher values are served first", "priority",
     FW_OPT_NUMBER},
    {"models", "NAME,...", "Models the team may use, or all", "models",
     FW_OPT_MODELS},
    {0},
};

static const struct fw_option pool_options[] = {
    {"serves", "MODEL@VERSION[+ADAPTER],...",
     "Model versions its engines serve", "serves", FW_OPT_SERVES},
    {"prefill-min", "N", "Minimum number of prefill engines", "prefill_min",
     FW_OPT_NUMBER},
    {"decode-min", "N", "Minimum number of decode engines", "decode_min",
     FW_OPT_NUMBER},
    {"kv-bytes", "BYTES", "Size of the KV cache of one token",
     "kv_bytes_per_token", FW_OPT_NUMBER},
    {0},
};

static const struct fw_option upstream_options[] = {
    {"pool", "NAME", "Pool or plain service", "pool", FW_OPT_TEXT},
    {"url", "URL", "Base address", "url", FW_OPT_TEXT},
    {"domain", "NAME", "Failure domain", "domain", FW_OPT_TEXT},
    {"role", "ROLE", "prefill, decode or service", "role", FW_OPT_TEXT},
    {"fencing", "WORD", "checked or ignored", "fencing", FW_OPT_TEXT},
    {"slots", "N", "Requests decoded concurrently", "slots", FW_OPT_NUMBER},
    {"prefill-rate", "TOKENS", "Prefill tokens per second", "prefill_rate",
     FW_OPT_NUMBER},
    {0},
};

#define FW_CTL_CHANGE_PATH "/v1/change"

const struct fw_subcommand Fw_Ctl_Commands[] = {
    {"key give", "TEAM", "Creates a key for a team and prints it once", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_KEY, NULL, create_key},
    {"key withdraw", "DIGEST|-", "Withdraws a key permanently", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_KEY, NULL, withdraw_key},
    {"team set", "NAME", "Creates or updates a team", 1, 1, FW_CTL_CHANGE_PATH,
     FW_ITEM_TEAM, team_options, set_item},
    {"team remove", "NAME", "Removes a team", 1, 1, FW_CTL_CHANGE_PATH,
     FW_ITEM_TEAM, NULL, remove_item},
    {"pool set", "NAME", "Creates or updates a pool", 1, 1, FW_CTL_CHANGE_PATH,
     FW_ITEM_POOL, pool_options, set_item},
    {"pool remove", "NAME", "Removes a pool", 1, 1, FW_CTL_CHANGE_PATH,
     FW_ITEM_POOL, NULL, remove_item},
    {"upstream set", "NAME", "Creates or updates an upstream", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_UPSTREAM, upstream_options, set_item},
    {"upstream drain", "NAME", "Stops sending new requests to an upstream", 1,
     1, FW_CTL_CHANGE_PATH, FW_ITEM_UPSTREAM, NULL, drain},
    {"upstream undrain", "NAME", "Resumes sending requests to an upstream", 1,
     1, FW_CTL_CHANGE_PATH, FW_ITEM_UPSTREAM, NULL, undrain},
    {"upstream remove", "NAME", "Removes an upstream", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_UPSTREAM, NULL, remove_item},
    {"operator give", "NAME", "Creates an operator's key and prints it once",
     1, 1, FW_CTL_CHANGE_PATH, FW_ITEM_OPERATOR, NULL, create_operator_key},
    {"operator withdraw", "NAME", "Withdraws an operator's key", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_OPERATOR, NULL, withdraw_operator},
    {"operator first", "NAME",
     "Prints the record that creates the first operator", 1, 1, NULL,
     FW_ITEM_OPERATOR, NULL, print_first_operator},
    {"setting set", "NAME VALUE", "Changes a setting of the whole fleet", 2, 2,
     FW_CTL_CHANGE_PATH, FW_ITEM_SETTING, NULL, set_setting},
    {"change", "FILE", "Sends the items of a JSON file as one change", 1, 1,
     FW_CTL_CHANGE_PATH, FW_ITEM_KINDS, NULL, send_change_file},
    {"sheet apply", "FILE", "Shows the changes of a sheet and applies them", 1,
     1, "/v1/sheet/apply", FW_ITEM_KINDS, NULL, Fw_Ctl_SheetApply},
    {0},
};
