/*
 * Choice of an engine by speed: the power of two choices, with engines drawn
 * in proportion to their speed. Two slow ones are thus seldom compared with
 * each other only, and instances with the same view don't all pick one.
 */
#ifndef FW_DECIDE_PLACE_ENGINE_H
#define FW_DECIDE_PLACE_ENGINE_H

/**
 * struct fw_engine_draw - two engines drawn at random.
 * @n: engines drawn, at most two
 * @engine: as given by the caller
 * @cost: of these
 * @key: random, lower for engines that are drawn rather than others
 */
struct fw_engine_draw {
    int n;
    void *engine[2];
    double cost[2];
    double key[2];
};

/*
 * Adds an engine to draw from.
 * @speed: relative to the mean of its service
 * @chance: random, greater than 0 and at most 1
 */
void
Fw_EngineDraw_Add(struct fw_engine_draw *d, void *engine, double speed,
                  double cost, double chance);
/* The drawn engine with the lowest cost, NULL if there is none. */
void *
Fw_EngineDraw_Best(const struct fw_engine_draw *d);
/*
 * Cost of a stream at a decode engine: the lower, the more tokens are free
 * with it, and the sooner its events follow each other.
 * @free_tokens: with the stream
 * @gap_us: expected time between its events, 0 if unknown
 * @gap_max_us: objective for that, 0 for none
 */
double
Fw_PlaceEngine_DecodeCost(double free_tokens, double speed, double gap_us,
                          double gap_max_us);

#endif
