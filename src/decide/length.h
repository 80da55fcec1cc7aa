/*
 * How long the answers of a service's model get.
 *
 * A request declares the most that it may generate, and mostly estimates
 * what it will. How much such estimates are worth differs from one load to
 * the next, and engines that are filled by a wrong figure stand half empty
 * or preempt what they run. So the length is learned from the answers that
 * ended: by regression on the estimate, in events, with the tokens of an
 * event from the estimates, which are right at the median.
 */
#ifndef FW_DECIDE_LENGTH_H
#define FW_DECIDE_LENGTH_H

#include <stdint.h>

/* Figures that one instance hands on to another that has just started. */
#define FW_LENGTH_PARAMS 8

/**
 * struct fw_length_model - what was learned; zeroed at the start.
 * @n: answers, old ones for less and less
 * @mean_hint, @mean_events: means of estimates in tokens and of answers in
 * events
 * @hint_variance, @events_variance, @covariance: mean squares and products of
 * the distances from them
 * @tokens_per_event: tokens of an event, 0 before an estimate was compared
 * @is_reported: @tokens_per_event is an engine's figure, not one from
 * estimates
 * @max_events: events of the longest answer of late
 */
struct fw_length_model {
    double n;
    double mean_hint;
    double mean_events;
    double hint_variance;
    double events_variance;
    double covariance;
    double tokens_per_event;
    double max_events;
    int is_reported;
};

/** struct fw_length_guess - tokens: what is expected, standard deviation. */
struct fw_length_guess {
    double mean;
    double dev;
};

/**
 * Fw_Length_Note - an answer has ended whole.
 * @hint: the caller's estimate, tokens; -1 for none
 * @most: that it might have generated
 * @events: that it had
 */
void
Fw_Length_Note(struct fw_length_model *l, int64_t hint, int64_t most,
               int64_t events);
void
Fw_Length_Guess(const struct fw_length_model *l, int64_t hint, int64_t most,
                struct fw_length_guess *out);
/* An engine has reported that @events of a stream are @tokens. */
void
Fw_Length_SetTokensPerEvent(struct fw_length_model *l, int64_t tokens,
                            int64_t events);
/* Tokens of an event; 0 when nothing is known. */
double
Fw_Length_TokensPerEvent(const struct fw_length_model *l, int64_t most);

void
Fw_Length_Export(const struct fw_length_model *l,
                 double figures[FW_LENGTH_PARAMS]);
/* Takes over another's, unless as much is known here or they make no sense. */
void
Fw_Length_Import(struct fw_length_model *l,
                 const double figures[FW_LENGTH_PARAMS]);

#endif
