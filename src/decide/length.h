/*
 * Prediction of the number of tokens in a model's answer.
 *
 * A request declares the maximum that it may generate and usually an
 * estimate, whose accuracy differs between workloads. Wrong predictions leave
 * engine memory unused or cause preemption. Finished answers therefore feed
 * a linear regression of the length, in events, on the caller's estimate.
 * Tokens per event come from engine reports, or else from the estimates,
 * whose median is taken as unbiased.
 */
#ifndef FW_DECIDE_LENGTH_H
#define FW_DECIDE_LENGTH_H

#include <stdint.h>

/* Parameters of a model as one instance sends them to another. */
#define FW_LENGTH_PARAMS 8

/**
 * struct fw_length_model - regression of answer length; zeroed initially.
 * @n: weight of the answers seen, limited so that old ones fade
 * @mean_hint: mean of the callers' estimates, tokens
 * @mean_events: mean length of answers, events
 * @hint_variance, @events_variance, @covariance: of estimates and lengths
 * @tokens_per_event: 0 until an estimate or a report was seen
 * @max_events: longest recent answer, decaying with each further one
 * @is_reported: @tokens_per_event comes from an engine's report
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

/**
 * struct fw_length_estimate - predicted length of one answer, in tokens.
 * @dev: standard deviation
 */
struct fw_length_estimate {
    double mean;
    double dev;
};

/**
 * Fw_Length_Update - adds a complete answer to the model.
 * @hint: the caller's estimate in tokens, -1 for none
 * @max_tokens: declared maximum, tokens
 * @events: length of the answer, events
 */
void
Fw_Length_Update(struct fw_length_model *l, int64_t hint, int64_t max_tokens,
                 int64_t events);
/* Predicts the length of an answer to a request with @hint and @max_tokens. */
void
Fw_Length_Estimate(const struct fw_length_model *l, int64_t hint,
                   int64_t max_tokens, struct fw_length_estimate *out);
/* Sets the ratio from an engine's report; ignored unless both are positive. */
void
Fw_Length_SetTokensPerEvent(struct fw_length_model *l, int64_t tokens,
                            int64_t events);
/*
 * Tokens per event. Without estimates and reports, the longest recent answer
 * is assumed to have @max_tokens tokens; 0 if there is none either.
 */
double
Fw_Length_TokensPerEvent(const struct fw_length_model *l, int64_t max_tokens);

void
Fw_Length_Export(const struct fw_length_model *l,
                 double params[FW_LENGTH_PARAMS]);
/*
 * Replaces the model by an exported one, unless that one is invalid or is
 * based on no more answers than @l.
 */
void
Fw_Length_Import(struct fw_length_model *l,
                 const double params[FW_LENGTH_PARAMS]);

#endif
