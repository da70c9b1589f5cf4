/* The product's own headers, as targets send them. */
#include "t/http-text.h"

extern "C" {
#include "daemon/dialect.h"
}

/*
 * Guards against a refusal that a faulty target writes once more on a kept
 * connection.  Responses bear no id here, so the next request would count as
 * not run while it runs.
 */
TEST(NativeDialect, ARefusalEndsItsConnection)
{
	ParsedMessage refusal(HTTP_READ_RESPONSE,
	    response_text(503, "Cranberryway-Verdict: not-run\r\n", ""));
	ParsedMessage answer(HTTP_READ_RESPONSE, response_text(200, "", "x"));
	ParsedMessage failure(HTTP_READ_RESPONSE, response_text(500, "", "x"));

	EXPECT_FALSE(dialect_native.may_keep_connection(refusal.get()));
	EXPECT_TRUE(dialect_native.may_keep_connection(answer.get()));
	EXPECT_TRUE(dialect_native.may_keep_connection(failure.get()));
}
