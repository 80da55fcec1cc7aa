#ifndef FW_REVIEW_DEPLOYMENT_H
#define FW_REVIEW_DEPLOYMENT_H

#include "review/lab/lab.h"

/* Writes a configuration with these routes, JSON without the brackets. */
void
Lab_PutConfig(const char *routes);
/* Return: zero if some instance is not ready after @ms. */
int
Lab_WaitReady(int ms);

/** struct lab_thread - a caller of one instance, in a thread of its own. */
struct lab_thread {
    struct lab_instance *instance;
    struct lab_caller caller;
    void (*run)(struct lab_thread *t);
    int stop;
    GThread *thread;
};

void
Lab_Thread_Start(struct lab_thread *t, int instance,
                 void (*run)(struct lab_thread *t));
void
Lab_Thread_Stop(struct lab_thread *t);
void
Lab_NoteAnswer(const struct lab_thread *t, const struct lab_answer *a);

#endif
