#include <sys/param.h>

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"

#define NUM_SLOTS 8
#define NUM_SIZE 24
/* A pipe that is ready for writing takes this much without blocking. */
#define PIPE_WRITE_BYTES 4096
/* Longest line, so that two of them fit into one such write. */
#define LINE_BYTES (PIPE_WRITE_BYTES / 2)
/* Longest value, before it is escaped. */
#define VALUE_BYTES 512

static FILE *log_out;
static log_level_t log_min = LOG_INFO;

/* Rate limit; see log_set_rate_limit(). */
static unsigned int line_limit, lines_this_second;
static msec_t current_second;
static unsigned long long dropped;

static char line[LINE_BYTES];
static size_t line_len;

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
is_writable(int fd)
{
	struct pollfd out = {.fd = fd, .events = POLLOUT};

	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

static int
may_write(log_level_t level)
{
	msec_t now = clock_now() / MSEC_PER_SEC;

	if (now != current_second)
		lines_this_second = 0;
	current_second = now;
	if (line_limit != 0 && level < LOG_ERROR &&
	    lines_this_second >= line_limit)
		return 0;
	lines_this_second++;
	/* A stream in memory has no descriptor. */
	return fileno(log_out) < 0 || is_writable(fileno(log_out));
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

/* Appends as much of @s as fits; the end of the line stays free. */
static void
put(const char *s, size_t len)
{
	len = MIN(len, LINE_BYTES - 1 - line_len);
	memcpy(line + line_len, s, len);
	line_len += len;
}

static void
put_text(const char *s)
{
	put(s, strlen(s));
}

static void
put_value(const char *s)
{
	size_t len = strnlen(s, VALUE_BYTES + 1), i;
	char escaped[8];

	if (is_plain(s) && len <= VALUE_BYTES) {
		put(s, len);
		return;
	}
	put_text("\"");
	for (i = 0; i < MIN(len, VALUE_BYTES); i++) {
		unsigned char c = (unsigned char)s[i];

		if (c == '"' || c == '\\')
			snprintf(escaped, sizeof(escaped), "\\%c", c);
		else if (c < ' ' || c >= 0x7f)
			snprintf(escaped, sizeof(escaped), "\\x%02x", c);
		else
			snprintf(escaped, sizeof(escaped), "%c", c);
		put_text(escaped);
	}
	put_text(len > VALUE_BYTES ? "...\"" : "\"");
}

static void
begin_line(void)
{
	struct timespec ts;
	struct tm tm;
	char text[32], ms[NUM_SIZE];

	line_len = 0;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(ms, sizeof(ms), ".%03ldZ", ts.tv_nsec / 1000000 % 1000);
	put_text(text);
	put_text(ms);
}

static void
end_line(void)
{
	line[line_len++] = '\n';
	fwrite(line, 1, line_len, log_out);
}

/* The caller's values may be in each slot of log_num(). */
static void
write_dropped(void)
{
	char number[NUM_SIZE];

	snprintf(number, sizeof(number), "%llu", dropped);
	begin_line();
	put_text(" level=warn event=log.left_out lines=");
	put_text(number);
	end_line();
	dropped = 0;
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
	if (dropped > 0)
		write_dropped();
	begin_line();
	put_text(" level=");
	put_text(level_names[level]);
	put_text(" event=");
	put_text(event);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *)) != NULL) {
		value = va_arg(ap, const char *);
		put_text(" ");
		put_text(key);
		put_text("=");
		put_value(value != NULL ? value : "-");
	}
	va_end(ap);
	end_line();
	fflush(log_out);
}

void
log_text(int fd, const char *text)
{
	size_t left = strlen(text);
	ssize_t n;

	while (left > 0 && is_writable(fd)) {
		n = write(fd, text, MIN(left, PIPE_WRITE_BYTES));
		if (n <= 0)
			break;
		text += n;
		left -= (size_t)n;
	}
	if (left > 0)
		log_event(LOG_WARN, "log.text_cut", "bytes",
		    log_num((long long)left), NULL);
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
