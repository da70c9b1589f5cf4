/* The product's own row protocol, as the daemon reads it. */
#include "t/http-text.h"

extern "C" {
#include "daemon/rows.h"
}

namespace {

/* The result of a request for a row, or for its change. */
struct Result {
	struct msg *request;

	Result(enum msg_kind kind, const std::string &response)
	    : request(msg_create(kind))
	{
		struct http_reader r;
		const struct http_limits limits = {65536, 1 << 20};

		http_reader_init(&r, HTTP_READ_RESPONSE, &limits);
		http_reader_feed(&r, response.data(), response.size());
		http_reader_eof(&r);
		EXPECT_EQ(r.state, HTTP_READER_COMPLETE) << response;
		row_protocol_native.read_response(
		    request, &r.msg, &request->u.row);
		http_reader_release(&r);
	}
	~Result()
	{
		msg_destroy(request);
	}
	const struct row &
	row() const
	{
		return request->u.row;
	}
};

} // namespace

TEST(RowsNative, StatusesTellTheResult)
{
	const struct {
		int status;
		enum msg_kind kind;
		enum row_status want;
	} cases[] = {
	    {200, MSG_ROW_READ, ROW_FOUND},
	    {200, MSG_ROW_WRITE, ROW_WRITTEN},
	    {404, MSG_ROW_READ, ROW_ABSENT},
	    {409, MSG_ROW_WRITE, ROW_CONFLICT},
	    {500, MSG_ROW_READ, ROW_UNKNOWN},
	    {204, MSG_ROW_READ, ROW_UNKNOWN},
	};

	for (const auto &c : cases) {
		Result r(c.kind, response_text(c.status, "Version: 7\r\n", ""));

		EXPECT_EQ(r.row().status, c.want) << c.status;
		EXPECT_EQ(r.row().version, c.want == ROW_UNKNOWN ? 0u : 7u);
	}
}

TEST(RowsNative, AWholeBodyIsTheRow)
{
	Result r(MSG_ROW_READ, response_text(200, "Version: 7\r\n", "value"));

	EXPECT_EQ(std::string(r.row().value.data, r.row().value.len), "value");
}

/* Where it ends with the connection, it may be a part of the row. */
TEST(RowsNative, ABodyWithoutALengthIsNoRow)
{
	Result r(MSG_ROW_READ, "HTTP/1.1 200 OK\r\nVersion: 7\r\n\r\nval");

	EXPECT_EQ(r.row().status, ROW_UNKNOWN);
	EXPECT_EQ(r.row().value.len, 0u);
}
