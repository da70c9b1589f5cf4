/* The platform's HTTP headers, read from and written to callers and targets. */
#include <sodium.h>

#include "t/http-text.h"

extern "C" {
#include "daemon/daemon.h"
#include "platform/platform.h"
}

namespace {

const struct dialect *DIALECT = &dialect_platform;

/* A caller's request with the given headers, as the dialect reads it. */
struct Call {
	struct msg *m = msg_create(MSG_CALL);
	bool ok;

	explicit Call(const std::string &headers,
	    const std::string &line = "GET /a/b?c=1")
	{
		ParsedMessage t(HTTP_READ_REQUEST,
		    request_text(line, "Host: shop.example\r\n" + headers));

		ok = DIALECT->read_request(nullptr, t.get(), &m->u.call);
	}
	~Call()
	{
		msg_destroy(m);
	}
	std::string
	headers() const
	{
		const struct buffer &b = m->u.call.request.headers;

		return std::string(b.data != nullptr ? b.data : "", b.len);
	}
};

/* The content of a buffer, which is freed. */
std::string
take_text(struct evbuffer *b)
{
	std::string s(
	    (const char *)evbuffer_pullup(b, -1), evbuffer_get_length(b));

	evbuffer_free(b);
	return s;
}

/* A target's response, as the dialect reads it. */
struct Response {
	struct reply r = {};

	explicit Response(const std::string &text)
	{
		ParsedMessage t(HTTP_READ_RESPONSE, text);

		DIALECT->read_response(t.get(), &r);
	}
	~Response()
	{
		reply_release(&r);
	}
};

/* The status of the response to a failed call. */
int
failure_status(enum verdict v, enum reason reason)
{
	struct call_tag tag = {};
	struct reply r = {};
	struct evbuffer *h = evbuffer_new(), *b = evbuffer_new();
	int status;

	r.failure = failure_make(v, reason);
	status = DIALECT->write_failure(&tag, &r, h, b);
	evbuffer_free(h);
	evbuffer_free(b);
	return status;
}

} // namespace

TEST(PlatformDialect, ReadsIdDeadlineAndKeyOfACaller)
{
	Call c("Request-Id: 9c41\r\nDeadline-Ms: 6000\r\n"
	       "Authorization: Bearer secret\r\nX-Other: v\r\n");
	uint8_t hash[KEY_HASH_LEN];

	ASSERT_TRUE(c.ok);
	EXPECT_STREQ(c.m->u.call.id, "9c41");
	EXPECT_EQ(c.m->u.call.context.deadline_ms, 6000u);
	EXPECT_STREQ(c.m->u.call.request.host, "shop.example");
	EXPECT_STREQ(c.m->u.call.request.path, "/a/b?c=1");
	ASSERT_TRUE(c.m->u.call.has_key);
	crypto_generichash(
	    hash, sizeof(hash), (const uint8_t *)"secret", 6, NULL, 0);
	EXPECT_EQ(memcmp(hash, c.m->u.call.key_hash, sizeof(hash)), 0);
	EXPECT_EQ(c.headers(), "Request-Id: 9c41\r\nX-Other: v\r\n");
}

/* Targets get neither API keys nor headers that only daemons may set. */
TEST(PlatformDialect, DropsKeysConnectionHeadersAndReservedHeaders)
{
	Call c("authorization: Bearer secret\r\ntenant-id: other\r\n"
	       "Caller-Service: other\r\nTarget-Instance: i-0\r\n"
	       "Connection: keep-alive\r\nKeep-Alive: timeout=1\r\n"
	       "TE: trailers\r\nX-Other: v\r\n");

	ASSERT_TRUE(c.ok);
	EXPECT_EQ(c.headers(), "X-Other: v\r\n");
}

/* RFC 9110, 7.6.1: fields that Connection names are for one connection. */
TEST(PlatformDialect, DropsTheHeadersThatConnectionNames)
{
	const std::string lines =
	    "Connection: close, x-hop,\tX-Leap\r\nX-Hop: a\r\n"
	    "Connection: , x-jump\r\nX-LEAP: b\r\nX-Jump: c\r\n"
	    "X-Ho: d\r\nX-Hop-2: e\r\n";
	Call c(lines);
	Response response(
	    response_text(200, lines + "Response-Signature: s\r\n", ""));

	ASSERT_TRUE(c.ok);
	EXPECT_EQ(c.headers(), "X-Ho: d\r\nX-Hop-2: e\r\n");
	EXPECT_EQ(std::string(response.r.headers.data, response.r.headers.len),
	    "X-Ho: d\r\nX-Hop-2: e\r\nResponse-Signature: s\r\n");
}

TEST(PlatformDialect, AMalformedDeadlineIsIgnored)
{
	Call c("Deadline-Ms: soon\r\n");

	ASSERT_TRUE(c.ok);
	EXPECT_EQ(c.m->u.call.context.deadline_ms, 0u);
}

TEST(PlatformDialect, RefusesRequestsWithoutHostOrPath)
{
	ParsedMessage t(HTTP_READ_REQUEST, request_text("GET /a", "A: b\r\n"));
	struct msg *m = msg_create(MSG_CALL);

	EXPECT_FALSE(DIALECT->read_request(nullptr, t.get(), &m->u.call));
	msg_destroy(m);
	EXPECT_FALSE(Call("", "OPTIONS *").ok);
}

/*
 * RFC 9112, 6.3, rule 2: after a success the connection is a tunnel, and what
 * follows the response's head is no body.
 */
TEST(PlatformDialect, RefusesToOpenATunnel)
{
	EXPECT_FALSE(Call("", "CONNECT /a").ok);
	EXPECT_FALSE(Call("", "CONNECT a:80").ok);
}

TEST(PlatformDialect, WritesCallerAndDeadlineForTheTarget)
{
	struct msg *m = msg_create(MSG_RUN);
	struct forward *f = &m->u.forward;
	struct evbuffer *out = evbuffer_new();

	name_copy(f->request.host, "shop.example", HOST_LEN);
	buffer_set(&f->request.headers, "Request-Id: 9c41\r\n", 18);
	f->context.deadline_ms = 750;
	name_copy(f->target_id, "i-7", ID_LEN);
	name_copy(f->context.org, "brno", NAME_LEN);
	name_copy(f->caller, "quotes", NAME_LEN);
	DIALECT->write_target_headers(nullptr, f, out);
	EXPECT_EQ(take_text(out),
	    "Request-Id: 9c41\r\nHost: shop.example\r\n"
	    "Deadline-Ms: 750\r\nTarget-Instance: i-7\r\n"
	    "Tenant-Id: brno\r\nCaller-Service: quotes\r\n");
	msg_destroy(m);
}

/* The statuses 429, 503, 408 and 421 promise that the request did not run. */
TEST(PlatformDialect, OnlyCallsThatDidNotRunGetAStatusThatSaysSo)
{
	for (int i = REASON_NONE + 1; i < REASON_COUNT; i++) {
		enum reason reason = (enum reason)i;
		int may_have_run = failure_status(VERDICT_MAY_HAVE_RUN, reason);
		int ran = failure_status(VERDICT_RAN, reason);

		EXPECT_TRUE(may_have_run == 502 || may_have_run == 504)
		    << may_have_run;
		EXPECT_TRUE(ran == 502 || ran == 504) << ran;
	}
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_OVER_RATE), 429);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_SHED), 503);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_DEADLINE), 503);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_KEY_REFUSED), 401);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_NO_KEY), 401);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_NO_ROUTE), 404);
	/* Without a configuration a key or route must not be called unknown. */
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_NO_CONFIG), 503);
	EXPECT_EQ(failure_status(VERDICT_NOT_RUN, REASON_STALE_CONFIG), 503);
}

TEST(PlatformDialect, RetryAfterIsInSecondsWithFractions)
{
	struct call_tag tag = {};
	struct reply r = {};
	struct evbuffer *h = evbuffer_new(), *b = evbuffer_new();

	name_copy(tag.id, "9c41", ID_LEN);
	r.failure = failure_make(VERDICT_NOT_RUN, REASON_SHED);
	r.retry_after_ms = 350;
	DIALECT->write_failure(&tag, &r, h, b);
	EXPECT_EQ(take_text(h), "Request-Id: 9c41\r\nRetry-After: 0.350\r\n");
	evbuffer_free(b);
}

TEST(PlatformDialect, PassesATargetsResponseUnchanged)
{
	Response response(response_text(200,
	    "Response-Signature: s\r\nRequest-Id: 9c41\r\n"
	    "Server-Load: 1,0,8\r\nKeep-Alive: timeout=10\r\n",
	    "bytes"));

	EXPECT_EQ(response.r.failure.reason, REASON_NONE);
	EXPECT_EQ(response.r.status, 200);
	EXPECT_EQ(std::string(response.r.headers.data, response.r.headers.len),
	    "Response-Signature: s\r\nRequest-Id: 9c41\r\n");
	EXPECT_EQ(
	    std::string(response.r.body.data, response.r.body.len), "bytes");
}

TEST(PlatformDialect, ARefusalByTheTargetMeansNotRun)
{
	Response refused(response_text(503, "Not-Executed: 1\r\n", ""));
	Response wrong_instance(response_text(421, "Instance-Id: i-0\r\n", ""));

	EXPECT_EQ(refused.r.failure.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(refused.r.failure.reason, REASON_SHED);
	EXPECT_EQ(wrong_instance.r.failure.verdict, VERDICT_NOT_RUN);
}

TEST(PlatformDialect, AnUntrustedResponseIsAFailureThatMayHaveRun)
{
	const std::string bad[] = {
	    response_text(200, "", "bytes"),
	    response_text(200,
		"Response-Signature: s\r\nContent-Encoding: gzip\r\n", "x"),
	    /* The signature would not be passed on. */
	    response_text(200,
		"Response-Signature: s\r\n"
		"Connection: response-signature\r\n",
		"x"),
	    response_text(503, "", ""),
	    response_text(429, "", ""),
	    response_text(408, "", ""),
	};

	for (const std::string &text : bad) {
		Response response(text);

		EXPECT_EQ(response.r.failure.reason, REASON_TARGET_FAILED)
		    << text;
		EXPECT_EQ(response.r.failure.verdict, VERDICT_MAY_HAVE_RUN)
		    << text;
	}
}

TEST(PlatformDialect, MatchesResponsesByRequestId)
{
	ParsedMessage own(
	    HTTP_READ_RESPONSE, response_text(200, "Request-Id: 7\r\n", ""));
	ParsedMessage anonymous(HTTP_READ_RESPONSE, response_text(200, "", ""));

	EXPECT_TRUE(DIALECT->is_response_to("7", own.get(), false));
	EXPECT_FALSE(DIALECT->is_response_to("8", own.get(), false));
	EXPECT_FALSE(DIALECT->is_response_to("8", own.get(), true));
	/* Without an id it may be late, unless nothing was sent before. */
	EXPECT_FALSE(DIALECT->is_response_to("7", anonymous.get(), false));
	EXPECT_TRUE(DIALECT->is_response_to("7", anonymous.get(), true));
}
