#include "http/sent_tags.h"

void
Fw_SentTags_Add(struct fw_sent_tags *t, uint64_t tag)
{
    t->tags[t->n++ % FW_SENT_TAGS_MAX] = tag;
    t->n_untagged += tag == 0;
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
Fw_SentTags_MayAdd(const struct fw_sent_tags *t, uint64_t tag)
{
    return !tag || !has_tag(t, tag);
}
