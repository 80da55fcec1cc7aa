/*
 * Choice of the server for a plain call, from speeds, slots and the requests
 * of all instances, which are known late.
 *
 * While a view is late, all instances would send their calls to the server
 * that seems best. So each of them spreads its calls as all calls of that time
 * together should be spread: the chance of a server is its part of the calls
 * that would make the expected costs of a further call equal.
 */
#ifndef FW_DECIDE_PLACE_PLAIN_H
#define FW_DECIDE_PLACE_PLAIN_H

/*
 * In fleets of at most so many instances each one sees enough calls itself:
 * its own response times show a change sooner than the others' samples.
 */
#define FW_PLAIN_OWN_VIEW_INSTANCES 16
/* Most servers to choose from. */
#define FW_PLAIN_SERVERS_MAX 8

/**
 * struct fw_plain_server - a server that the call may be sent to.
 * @speed: relative to the mean of its service
 * @slots: requests that it works on at a time
 * @running: requests of all instances there
 */
struct fw_plain_server {
    double speed;
    int slots;
    int running;
};

/**
 * Fw_PlacePlain_Choose - index of the server for a call.
 * @n: number of servers, 1 to FW_PLAIN_SERVERS_MAX
 * @work_us: time that a call takes at speed 1 in a free slot
 * @late_us: how late the requests of other instances are known, 0 if there
 *     are no other instances
 * @chance: random, from 0 to 1
 */
int
Fw_PlacePlain_Choose(const struct fw_plain_server *servers, int n,
                     double work_us, double late_us, double chance);

#endif
