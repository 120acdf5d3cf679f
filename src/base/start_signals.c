#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#include "base/start_signals.h"

static volatile sig_atomic_t starting = 1;

static void
on_stop(int number)
{
	(void)number;
	if (starting)
		_exit(0);
}

void
start_signals_init(void)
{
	const struct sigaction ignored = {.sa_handler = SIG_IGN},
			       stop = {
				   .sa_handler = on_stop,
				   .sa_flags = SA_RESTART,
			       };

	(void)sigaction(SIGHUP, &ignored, NULL);
	(void)sigaction(SIGUSR1, &ignored, NULL);
	(void)sigaction(SIGPIPE, &ignored, NULL);
	(void)sigaction(SIGXFSZ, &ignored, NULL);
	(void)sigaction(SIGTERM, &stop, NULL);
	(void)sigaction(SIGINT, &stop, NULL);
}

void
start_signals_handled(void)
{
	starting = 0;
}

void
start_signals_again(void)
{
	starting = 1;
}
