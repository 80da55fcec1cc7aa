#include "http/sent_tags.h"

void
Fw_SentTags_Add(struct fw_sent_tags *t, uint64_t tag)
{
    t->tags[t->n++ % FW_SENT_TAGS_MAX] = tag;
    t->has_untagged |= tag == 0;
}

static int
has_tag(const struct fw_sent_tags *t, uint64_t tag)
{
    for (unsigned i = 0; i < t->n && i < FW_SENT_TAGS_MAX; i++) {
        if (t->tags[i] == tag) {
            return 1;
        }
    }
    return 0;
}

int
Fw_SentTags_HasUntagged(const struct fw_sent_tags *t)
{
    return t->has_untagged;
}

int
Fw_SentTags_MayAdd(const struct fw_sent_tags *t, uint64_t tag)
{
    if (!tag) {
        return !t->n || t->tags[(t->n - 1) % FW_SENT_TAGS_MAX] != 0;
    }
    return !has_tag(t, tag);
}
