/* The cases of the second review. Each returns a status of lab.h. */
#ifndef FW_REVIEW_CASES_H
#define FW_REVIEW_CASES_H

int
Case_RemovedServers(void);
int
Case_Poison(void);
int
Case_LongAnswers(void);
int
Case_StreamsAtStop(void);

int
Case_ForeignEntry(void);

#endif
