#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"

#define NUM_SLOTS 8
#define NUM_SIZE 24
/* A pipe that is ready for writing takes this much without blocking. */
#define PIPE_WRITE_BYTES 4096

static FILE *log_out;
static log_level_t log_min = LOG_INFO;

/* Rate limit; see log_set_rate_limit(). */
static unsigned int line_limit, lines_this_second;
static msec_t current_second;
static unsigned long long dropped;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

void
log_open(FILE *out, log_level_t min)
{
	log_out = out;
	log_min = min;
}

void
log_set_rate_limit(unsigned int lines_per_sec)
{
	line_limit = lines_per_sec;
	if (log_out != NULL)
		setvbuf(log_out, NULL, _IOFBF, PIPE_WRITE_BYTES);
}

static int
may_write(log_level_t level)
{
	struct pollfd out = {.events = POLLOUT};
	msec_t now = clock_now() / MSEC_PER_SEC;

	if (line_limit == 0)
		return 1;
	if (now != current_second)
		lines_this_second = 0;
	current_second = now;
	if (level < LOG_ERROR && lines_this_second >= line_limit)
		return 0;
	lines_this_second++;
	out.fd = fileno(log_out);
	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

int
log_level_parse(const char *name, log_level_t *level)
{
	size_t i;

	for (i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (log_level_t)i;
			return 0;
		}
	}
	return -1;
}

static int
is_plain(const char *s)
{
	if (*s == '\0')
		return 0;
	for (; *s != '\0'; s++) {
		if (*s <= ' ' || *s == '"' || *s == '=' || *s == '\\' ||
		    (unsigned char)*s >= 0x7f)
			return 0;
	}
	return 1;
}

static void
put_value(const char *s)
{
	unsigned char c;

	if (is_plain(s)) {
		fputs(s, log_out);
		return;
	}
	fputc('"', log_out);
	for (; *s != '\0'; s++) {
		c = (unsigned char)*s;
		if (c == '"' || c == '\\')
			fprintf(log_out, "\\%c", c);
		else if (c < ' ' || c >= 0x7f)
			fprintf(log_out, "\\x%02x", c);
		else
			fputc(c, log_out);
	}
	fputc('"', log_out);
}

static void
put_time(void)
{
	struct timespec ts;
	struct tm tm;
	char text[32];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(log_out, "time=%s.%03ldZ", text, ts.tv_nsec / 1000000);
}

void
log_event(log_level_t level, const char *event, ...)
{
	va_list ap;
	const char *key, *value;

	if (log_out == NULL || level < log_min)
		return;
	if (!may_write(level)) {
		dropped++;
		return;
	}
	if (dropped > 0) {
		put_time();
		fprintf(log_out, " level=warn event=log.left_out lines=%llu\n",
		    dropped);
		dropped = 0;
	}
	put_time();
	fprintf(log_out, " level=%s event=%s", level_names[level], event);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *)) != NULL) {
		value = va_arg(ap, const char *);
		fprintf(log_out, " %s=", key);
		put_value(value != NULL ? value : "-");
	}
	va_end(ap);
	fputc('\n', log_out);
	fflush(log_out);
}

const char *
log_num(long long n)
{
	static char slots[NUM_SLOTS][NUM_SIZE];
	static unsigned int next;
	char *s = slots[next++ % NUM_SLOTS];

	snprintf(s, NUM_SIZE, "%lld", n);
	return s;
}
