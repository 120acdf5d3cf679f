#ifndef BASE_PROCESS_LIMITS_H
#define BASE_PROCESS_LIMITS_H

/** process_descriptors() - Most descriptors that this process may have open. */
unsigned int process_descriptors(void);

#endif
