#include <execinfo.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/fatal_signal.h"

#define FRAMES_MAX 32
#define LINE_BYTES 160

static const struct {
	int number;
	const char *name;
} fatal[] = {
    {SIGSEGV, "SIGSEGV"},
    {SIGBUS, "SIGBUS"},
    {SIGABRT, "SIGABRT"},
    {SIGFPE, "SIGFPE"},
    {SIGILL, "SIGILL"},
};

static int report_fd = -1;

static const char *
name_of(int number)
{
	size_t i;

	for (i = 0; i < sizeof(fatal) / sizeof(fatal[0]); i++) {
		if (fatal[i].number == number)
			return fatal[i].name;
	}
	return "-";
}

/* The handler was reset: raising the signal again ends the process. */
static void
on_fatal(int number, siginfo_t *info, void *context)
{
	struct pollfd out = {.fd = report_fd, .events = POLLOUT};
	void *frames[FRAMES_MAX];
	char line[LINE_BYTES];
	int len;

	(void)context;
	if (poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
		len = snprintf(line, sizeof(line),
		    "level=error event=host.crashed signal=%s code=%d "
		    "address=%p\n",
		    name_of(number), info->si_code, info->si_addr);
		if (write(report_fd, line, (size_t)len) == len)
			backtrace_symbols_fd(
			    frames, backtrace(frames, FRAMES_MAX), report_fd);
	}
	raise(number);
}

void
fatal_signal_report(int fd)
{
	struct sigaction now,
	    report = {
		.sa_sigaction = on_fatal,
		.sa_flags = SA_SIGINFO | SA_RESETHAND,
	    };
	void *frame;
	size_t i;

	report_fd = fd;
	/* The first call loads a library, which a handler must not do. */
	(void)backtrace(&frame, 1);
	for (i = 0; i < sizeof(fatal) / sizeof(fatal[0]); i++) {
		if (sigaction(fatal[i].number, NULL, &now) == 0 &&
		    now.sa_handler == SIG_DFL)
			(void)sigaction(fatal[i].number, &report, NULL);
	}
}
