/*
 * Fault injection for test builds. Each named fault disables one safeguard,
 * to show that the check of the property it protects can fail.
 */
#ifndef FW_BASE_FAULT_H
#define FW_BASE_FAULT_H

#ifdef FW_TEST_BUILD
extern const char *Fw_Fault_Active; /* name of the active fault, or NULL */
int
Fw_Fault_IsActive(const char *name);
#define FW_FAULT(name) Fw_Fault_IsActive(name)
#else
#define FW_FAULT(name) 0
#endif

#endif
