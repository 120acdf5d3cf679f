#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"

#define NUM_SLOTS 8
#define NUM_SIZE 24
/* A pipe that can be written to takes so much without waiting. */
#define LINE_MAX_BYTES 4096

static FILE *log_out;
static log_level_t log_min = LOG_INFO;

/* Bound on lines; see log_bound(). */
static unsigned int bound, used;
static msec_t second;
static unsigned long long left_out;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

void
log_open(FILE *out, log_level_t min)
{
	log_out = out;
	log_min = min;
}

void
log_bound(unsigned int lines_per_sec)
{
	bound = lines_per_sec;
	if (log_out != NULL)
		setvbuf(log_out, NULL, _IOFBF, LINE_MAX_BYTES);
}

static int
may_write(log_level_t level)
{
	struct pollfd out = {.events = POLLOUT};
	msec_t now = clock_now() / MSEC_PER_SEC;

	if (bound == 0)
		return 1;
	if (now != second)
		used = 0;
	second = now;
	if (level < LOG_ERROR && used >= bound)
		return 0;
	used++;
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
		left_out++;
		return;
	}
	if (left_out > 0) {
		put_time();
		fprintf(log_out, " level=warn event=log.left_out lines=%llu\n",
		    left_out);
		left_out = 0;
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
