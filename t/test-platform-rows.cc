/* Reads, long polls and conditional writes of the table service. */
#include "t/http-text.h"

extern "C" {
#include "platform/platform.h"
}

namespace {

const struct row_protocol *PROTOCOL = &row_protocol_platform;

/* A request of the core to the table service, and the row of its response. */
struct Exchange {
	struct msg *m;
	struct row_request r;

	Exchange(enum msg_kind kind, const char *key)
	{
		m = msg_create(kind);
		name_copy(m->u.row.key, key, sizeof(m->u.row.key));
		row_request_init(&r);
	}
	~Exchange()
	{
		msg_destroy(m);
		row_request_release(&r);
	}
	std::string
	text(struct evbuffer *b)
	{
		return std::string((const char *)evbuffer_pullup(b, -1),
		    evbuffer_get_length(b));
	}
	struct row *
	respond(int status, const std::string &body,
	    const std::string &headers = "")
	{
		ParsedMessage t(
		    HTTP_READ_RESPONSE, response_text(status, headers, body));

		PROTOCOL->read_response(m, t.get(), &m->u.row);
		return &m->u.row;
	}
};

} // namespace

TEST(PlatformRows, ReadsOneRow)
{
	Exchange ex(MSG_ROW_READ, "control/cz central");
	struct row *row;

	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_EQ(ex.text(ex.r.path),
	    "/api/rows-get?limit=1&table=control&part=&from=cz%20central");
	row = ex.respond(200,
	    R"({"rows":[{"table":"control","part":"","key":"cz central",)"
	    R"("value":"bm9kZS0x","ver":412}],"has_more":false,"ver":530})");
	EXPECT_EQ(row->status, ROW_FOUND);
	EXPECT_EQ(row->version, 412u);
	EXPECT_EQ(row->feed_position, 530u);
	EXPECT_STREQ(row->value.data, "node-1");
}

/* A read asks for the first row from a key on, which may have another key. */
TEST(PlatformRows, ARowWithAnotherKeyMeansAbsent)
{
	Exchange ex(MSG_ROW_READ, "control/cz");
	struct row *row = ex.respond(200,
	    R"({"rows":[{"part":"","key":"de","value":"eA==","ver":4}],)"
	    R"("ver":9})");

	EXPECT_EQ(row->status, ROW_ABSENT);
	EXPECT_EQ(row->version, 0u);
}

TEST(PlatformRows, WaitsForAChangeOfTheConfiguration)
{
	Exchange ex(MSG_ROW_READ, "config");
	struct row *row;

	ex.m->u.row.feed_position = 530;
	ex.m->u.row.wait_ms = 500;
	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_EQ(ex.text(ex.r.path),
	    "/api/rows-feed?after=530&wait_ms=500&table=op");
	row = ex.respond(200, R"({"rows":[],"ver":530})");
	EXPECT_EQ(row->status, ROW_UNCHANGED);
	EXPECT_EQ(row->feed_position, 530u);
	row = ex.respond(200,
	    R"({"rows":[{"part":"","key":"other","value":"eA==","ver":531},)"
	    R"({"part":"","key":"config","value":"e30=","ver":533}],)"
	    R"("ver":533})");
	EXPECT_EQ(row->status, ROW_FOUND);
	EXPECT_EQ(row->version, 533u);
	row = ex.respond(200,
	    R"({"rows":[{"part":"","key":"config","tombstone":true,)"
	    R"("ver":540}],"ver":540})");
	EXPECT_EQ(row->status, ROW_ABSENT);
	EXPECT_EQ(ex.respond(410, "")->status, ROW_HISTORY_GONE);
}

TEST(PlatformRows, WritesIfTheVersionMatches)
{
	Exchange ex(MSG_ROW_WRITE, "control/cz");

	buffer_set(&ex.m->u.row.value, "node-1", 6);
	ex.m->u.row.version = 7;
	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_STREQ(ex.r.method, "POST");
	EXPECT_EQ(ex.text(ex.r.body),
	    R"({"precondition":[{"table":"control","part":"","key":"cz",)"
	    R"("ver":7}],"puts":[{"table":"control","part":"","key":"cz",)"
	    R"("value":"bm9kZS0x"}],"remove":[]})");
	EXPECT_EQ(
	    ex.respond(412, R"({"rows":[],"ver":9})")->status, ROW_CONFLICT);
	EXPECT_EQ(ex.respond(200, R"({"ver":10})")->status, ROW_WRITTEN);
	EXPECT_EQ(ex.m->u.row.version, 10u);
}

TEST(PlatformRows, AnEmptyValueRemovesTheRowUnconditionally)
{
	Exchange ex(MSG_ROW_WRITE, "member/orders/cz/1:2");

	ex.m->u.row.version = ROW_ANY_VERSION;
	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_EQ(ex.text(ex.r.body),
	    R"({"precondition":[],"puts":[],"remove":[{"table":"member",)"
	    R"("part":"orders","key":"cz/1:2"}]})");
}

TEST(PlatformRows, ListsMembersAsLines)
{
	Exchange ex(MSG_ROW_READ, "member/orders/");
	struct row *row;

	ex.m->u.row.key_is_prefix = true;
	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_EQ(ex.text(ex.r.path),
	    "/api/rows-get?limit=500&table=member&part=orders");
	row = ex.respond(200,
	    R"({"rows":[{"key":"k","value":"MSAy","ver":3},)"
	    R"({"key":"l","value":"Cg==","ver":4},{"key":"m","ver":5}],)"
	    R"("ver":9})");
	EXPECT_EQ(row->status, ROW_FOUND);
	EXPECT_STREQ(row->value.data, "member/orders/k 3 1 2\n");
}

/* A part of more rows than an answer holds is read page by page. */
TEST(PlatformRows, ReadsOnAfterTheLastRowOfAPage)
{
	Exchange ex(MSG_ROW_READ, "member/orders/");
	struct row *row;

	ex.m->u.row.key_is_prefix = true;
	row = ex.respond(200,
	    R"({"rows":[{"key":"a","value":"MQ==","ver":3},)"
	    R"({"key":"b/c","value":"Mg==","ver":4}],"has_more":true})");
	EXPECT_STREQ(row->last_key, "b/c");
	PROTOCOL->write_request(ex.m, &ex.r);
	EXPECT_EQ(ex.text(ex.r.path),
	    "/api/rows-get?limit=500&table=member&part=orders&from=b%2Fc");
	row = ex.respond(200,
	    R"({"rows":[{"key":"b/c","value":"Mg==","ver":4},)"
	    R"({"key":"d","value":"Mw==","ver":5}],"has_more":false})");
	EXPECT_STREQ(row->value.data, "member/orders/d 5 3\n");
	EXPECT_STREQ(row->last_key, "");
}

/*
 * Entries that another writer left, which make the JSON library refuse the
 * whole text or cannot be a line.  The others are read.
 */
TEST(PlatformRows, OddEntriesDoNotHideTheOthers)
{
	const std::string nested =
	    std::string(100000, '[') + std::string(100000, ']');
	std::string objects = "1";

	for (int i = 0; i < 5000; i++)
		objects = R"({"a":)" + objects + "}";
	const std::string odd[] = {
	    R"({"key":"x","value":"MQ==","ver":)" + std::string(400, '9') + "}",
	    R"({"key":"x","value":"MQ==","ver":1e999})",
	    R"({"key":"x","value":"MQ==","ver":-1e999})",
	    R"({"key":"x","value":)" + nested + R"(,"ver":2})",
	    R"({"key":"x","more":)" + objects + "}",
	    R"({"key":"x\u0000y","value":"MQ==","ver":2})",
	    "{\"key\":\"\xff\xfe\",\"value\":\"MQ==\",\"ver\":2}",
	    R"({"key":"with space","value":"MQ==","ver":2})",
	    R"({"key":"x","value":"AAAA","ver":2})",
	    R"({"key":"x","value":"MQo=","ver":2})",
	    R"({"key":"x","value":7,"ver":2})",
	    R"({"key":7,"value":"MQ==","ver":2})",
	    R"({"value":"MQ==","ver":2})",
	    R"("x")",
	    "17",
	    "null",
	    "[]",
	    nested,
	};

	for (const auto &entry : odd) {
		Exchange ex(MSG_ROW_READ, "member/orders/");
		struct row *row;

		ex.m->u.row.key_is_prefix = true;
		row = ex.respond(200,
		    R"({"rows":[{"key":"a","value":"MQ==","ver":3},)" + entry +
			R"(,{"key":"b","value":"Mg==","ver":4}],"ver":9})");
		EXPECT_EQ(row->status, ROW_FOUND) << entry.substr(0, 60);
		ASSERT_NE(row->value.data, nullptr);
		EXPECT_STREQ(row->value.data,
		    "member/orders/a 3 1\nmember/orders/b 4 2\n")
		    << entry.substr(0, 60);
	}
}

/* Without the expected response a write may have taken effect. */
TEST(PlatformRows, AnUnexpectedResponseLeavesTheOutcomeUnknown)
{
	Exchange ex(MSG_ROW_WRITE, "control/cz");

	for (int status : {429, 500, 503})
		EXPECT_EQ(ex.respond(status, "")->status, ROW_UNKNOWN);
	EXPECT_EQ(ex.respond(200, "no json")->status, ROW_UNKNOWN);
}

TEST(PlatformRows, TellsTheErasOfTheStoreAndRefusesAnUnreadableOne)
{
	Exchange ex(MSG_ROW_READ, "config");
	const char *rows = R"({"rows":[],"ver":9})";
	uint64_t era;

	EXPECT_EQ(ex.respond(200, rows)->era, 0u);
	EXPECT_EQ(ex.respond(200, rows, "Store-Era: 7\r\n")->era, 7u);
	/* It may have begun with a time in seconds. */
	era = ex.respond(200, rows, "Store-Era: 1796683628\r\n")->era;
	EXPECT_EQ(
	    ex.respond(200, rows, "Store-Era: 1796683629\r\n")->era, era + 1);
	EXPECT_EQ(ex.respond(410, "", "Store-Era: 8\r\n")->era, 8u);
	EXPECT_EQ(ex.m->u.row.status, ROW_HISTORY_GONE);
	for (const char *era :
	    {"", "x", "-1", "1.5", "2 3", "99999999999999999999"}) {
		ex.respond(
		    200, rows, std::string("Store-Era: ") + era + "\r\n");
		EXPECT_EQ(ex.m->u.row.status, ROW_UNKNOWN) << era;
	}
}

/* Else it would prove that nothing changed up to the end of its time. */
TEST(PlatformRows, AWaitThatEndsForAnotherRowIsNoFullWait)
{
	Exchange ex(MSG_ROW_READ, "config");
	struct row *row;

	ex.m->u.row.feed_position = 530;
	ex.m->u.row.wait_ms = 500;
	row = ex.respond(200, R"({"rows":[],"ver":530})");
	EXPECT_EQ(row->status, ROW_UNCHANGED);
	EXPECT_EQ(row->wait_ms, 500u);
	row = ex.respond(200,
	    R"({"rows":[{"part":"","key":"other","value":"eA==","ver":531}],)"
	    R"("ver":531})");
	EXPECT_EQ(row->status, ROW_UNCHANGED);
	EXPECT_EQ(row->wait_ms, 0u);
}
