#include <string.h>

#include "suite.h"
#include "transport/http_framing.h"

/*
 * MIXED: answers with a spoiled byte, which evhttp accepts, were passed on.
 * Each answer is read whole, and once for each place at which it can be cut.
 */

#define STATUS "HTTP/1.1 200 OK\r\n"
#define CHUNKED STATUS "Transfer-Encoding: chunked\r\n\r\n"

typedef struct {
	const char *name;
	const char *answer;
	enum {
		WHOLE,
		OPEN,
		CUT,
		INVALID
	} expected;
	gboolean to_head;
} row_t;

static const row_t rows[] = {
    {"length", STATUS "Content-Length: 5\r\n\r\nfirst", WHOLE, FALSE},
    {"length 0", STATUS "content-length:\t0 \r\n\r\n", WHOLE, FALSE},
    {"bytes behind", STATUS "Content-Length: 0\r\n\r\njunk", WHOLE, FALSE},
    {"no reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", WHOLE, FALSE},
    {"other bytes in a value",
	STATUS "X: \xe9\t\"\r\nContent-Length: 0\r\n\r\n", WHOLE, FALSE},
    {"chunks", CHUNKED "5\r\nfirst\r\nA\r\n0123456789\r\n0\r\n\r\n", WHOLE,
	FALSE},
    {"trailer", CHUNKED "5\r\nfirst\r\n0\r\nX-Sum: 1\r\n\r\n", WHOLE, FALSE},
    {"coding in capitals", STATUS "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
	WHOLE, FALSE},
    {"until close", STATUS "X: y\r\n\r\nfirst", OPEN, FALSE},
    {"until close, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nfirst", OPEN, FALSE},
    {"to a HEAD", STATUS "Content-Length: 5\r\n\r\n", WHOLE, TRUE},
    {"204", "HTTP/1.1 204 No Content\r\n\r\n", WHOLE, FALSE},
    {"304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", WHOLE,
	FALSE},
    {"short body", STATUS "Content-Length: 9\r\n\r\nfirst", CUT, FALSE},
    {"no last chunk", CHUNKED "5\r\nfirst\r\n", CUT, FALSE},
    {"no end of the trailer", CHUNKED "0\r\n", CUT, FALSE},
    {"no end of the head", STATUS "Content-Length: 0\r\n", CUT, FALSE},

    {"other protocol", "HTTQ/1.1 200 OK\r\n\r\n", INVALID, FALSE},
    {"other version", "HTTP/2.0 200 OK\r\n\r\n", INVALID, FALSE},
    {"no version", "HTTP/1.x 200 OK\r\n\r\n", INVALID, FALSE},
    {"blank line first", "\r\n" STATUS "\r\n", INVALID, FALSE},
    {"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", INVALID, FALSE},
    {"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", INVALID, FALSE},
    {"status with a letter", "HTTP/1.1 20x OK\r\n\r\n", INVALID, FALSE},
    {"status 000", "HTTP/1.1 000 OK\r\n\r\n", INVALID, FALSE},
    {"status 700", "HTTP/1.1 700 OK\r\n\r\n", INVALID, FALSE},
    {"control character in the reason", "HTTP/1.1 200 O\002\r\n\r\n", INVALID,
	FALSE},
    {"blank in a name", STATUS "X A: y\r\n\r\n", INVALID, FALSE},
    {"blank before the colon", STATUS "Content-Length : 5\r\n\r\n", INVALID,
	FALSE},
    {"control character in a name", STATUS "X\002A: y\r\n\r\n", INVALID, FALSE},
    {"control character in a value", STATUS "X: y\001\r\n\r\n", INVALID, FALSE},
    {"no name", STATUS ": y\r\n\r\n", INVALID, FALSE},
    {"no colon", STATUS "X-A\r\n\r\n", INVALID, FALSE},
    {"folded", STATUS "X: y\r\n z\r\n\r\n", INVALID, FALSE},
    {"bare LF", STATUS "X: y\n\r\n", INVALID, FALSE},
    {"bare CR", STATUS "X: y\rz\r\n\r\n", INVALID, FALSE},
    {"unknown coding", STATUS "Transfer-Encoding: xhunked\r\n\r\n", INVALID,
	FALSE},
    {"two codings", STATUS "Transfer-Encoding: gzip, chunked\r\n\r\n", INVALID,
	FALSE},
    {"repeated coding",
	STATUS
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	INVALID, FALSE},
    {"coding in HTTP/1.0",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", INVALID,
	FALSE},
    {"coding and length",
	STATUS "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
	INVALID, FALSE},
    {"second length", STATUS "Content-Length: 5\r\nContent-Length: 9\r\n\r\n",
	INVALID, FALSE},
    {"the same length twice",
	STATUS "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", INVALID,
	FALSE},
    {"length with a sign", STATUS "Content-Length: +5\r\n\r\n", INVALID, FALSE},
    {"empty length", STATUS "Content-Length: \r\n\r\n", INVALID, FALSE},
    {"length out of range",
	STATUS "Content-Length: 99999999999999999999\r\n\r\n", INVALID, FALSE},
    {"invalid length to a HEAD", STATUS "Content-Length: 5x\r\n\r\n", INVALID,
	TRUE},
    {"chunk shorter than its size", CHUNKED "7\r\nfirst\r\n0\r\n\r\n", INVALID,
	FALSE},
    {"chunk longer than its size", CHUNKED "4\r\nfirst\r\n0\r\n\r\n", INVALID,
	FALSE},
    {"chunk size with a sign", CHUNKED "+5\r\nfirst\r\n0\r\n\r\n", INVALID,
	FALSE},
    {"chunk size 0x5", CHUNKED "0x5\r\nfirst\r\n0\r\n\r\n", INVALID, FALSE},
    {"chunk size with a blank", CHUNKED "5 \r\nfirst\r\n0\r\n\r\n", INVALID,
	FALSE},
    {"chunk size out of range", CHUNKED "fffffffffffffffff\r\n", INVALID,
	FALSE},
    {"chunk size without end",
	CHUNKED "0000000000000000000000000000000000000005\r\nfirst", INVALID,
	FALSE},
    {"empty chunk size", CHUNKED "\r\n5\r\nfirst\r\n0\r\n\r\n", INVALID, FALSE},
    {"length in a trailer", CHUNKED "0\r\nContent-Length: 3\r\n\r\n", INVALID,
	FALSE},
    {"blank in the name of a trailer", CHUNKED "0\r\nX A: 3\r\n\r\n", INVALID,
	FALSE},
};

/* Reads an answer in two parts. */
static const char *
read_in_parts(http_framing_t *f, const row_t *row, size_t first)
{
	size_t len = strlen(row->answer);
	const char *fault;

	http_framing_init(f, row->to_head);
	fault = http_framing_take(f, row->answer, first);
	if (fault == NULL)
		fault = http_framing_take(f, row->answer + first, len - first);
	return fault;
}

static void
answers_are_read_strictly(void)
{
	http_framing_t f;
	const char *fault;
	size_t i, first;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const row_t *row = &rows[i];

		for (first = 0; first <= strlen(row->answer); first++) {
			fault = read_in_parts(&f, row, first);
			ck_assert_msg(
			    (fault != NULL) == (row->expected == INVALID),
			    "%s, cut at %zu: %s", row->name, first,
			    fault != NULL ? fault : "valid");
			ck_assert_msg(http_framing_may_end(&f) ==
				(row->expected == WHOLE ||
				    row->expected == OPEN),
			    "%s, cut at %zu: state %d", row->name, first,
			    f.state);
			ck_assert_msg(row->expected != OPEN ||
				f.state == HTTP_FRAMING_UNTIL_CLOSE,
			    "%s: state %d", row->name, f.state);
			http_framing_finish(&f);
		}
	}
}

/* Once an answer is invalid, nothing that follows makes it valid. */
static void
faults_are_final(void)
{
	http_framing_t f;

	http_framing_init(&f, FALSE);
	ck_assert(http_framing_take(&f, "\r\n", 2) != NULL);
	ck_assert(http_framing_take(&f, STATUS "\r\n", 19) != NULL);
	ck_assert(!http_framing_may_end(&f));
	http_framing_finish(&f);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"answers are read strictly", answers_are_read_strictly},
	    {"faults are final", faults_are_final},
	};

	return suite_run(
	    "http framing", cases, sizeof(cases) / sizeof(cases[0]));
}
