/* Heartbeats of targets: which are accepted, and which are refused. */
#include "t/http-text.h"

extern "C" {
#include "config/settings.h"
#include "platform/platform.h"
}

namespace {

/* The daemon belongs to the target orders at 10.0.0.9:8080. */
class PlatformAnnounce : public testing::Test {
      protected:
	void
	SetUp() override
	{
		s = settings_create();
		name_copy(s->service, "orders", sizeof(s->service));
		addr_parse("10.0.0.9:8080", &s->target);
	}
	void
	TearDown() override
	{
		settings_destroy(s);
	}
	enum announce_result
	read(const std::string &line, const std::string &heartbeat)
	{
		ParsedMessage t(HTTP_READ_REQUEST,
		    request_text(line, "Host: x\r\n", heartbeat));

		memset(&a, 0, sizeof(a));
		return announce_protocol_platform.read(t.get(), s, &a);
	}
	enum announce_result
	read_heartbeat(const std::string &heartbeat)
	{
		return read("PUT /api/instances/i-7", heartbeat);
	}

	struct settings *s;
	struct announce a;
};

std::string
heartbeat(const std::string &state, const std::string &rest)
{
	return R"({"upstream":"orders","address":"10.0.0.9:8080",)"
	       R"("zone":"z","version":"v1","slots":264,"state":")" +
	       state + "\"," + rest + "}";
}

} // namespace

TEST_F(PlatformAnnounce, ReadsAHeartbeat)
{
	EXPECT_EQ(read_heartbeat(heartbeat("ready",
		      R"("warmup_left_s":1.5,"seq":4,"born":1700000000000)")),
	    ANNOUNCE_ACCEPTED);
	EXPECT_STREQ(a.id, "i-7");
	EXPECT_STREQ(a.service, "orders");
	EXPECT_EQ(a.slots, 264u);
	EXPECT_EQ(a.seq, 5u);
	EXPECT_EQ(a.started_ms, 1700000000000u);
	EXPECT_EQ(a.warmup_ms, 1500u);
	EXPECT_FALSE(a.leaving);
	EXPECT_TRUE(a.daemon_outlives_target);
}

TEST_F(PlatformAnnounce, DrainingAndDeletingAnnounceThatItLeaves)
{
	EXPECT_EQ(read_heartbeat(heartbeat("draining", R"("seq":4)")),
	    ANNOUNCE_ACCEPTED);
	EXPECT_TRUE(a.leaving);
	EXPECT_EQ(read("DELETE /api/instances/i-7", ""), ANNOUNCE_ACCEPTED);
	EXPECT_TRUE(a.leaving);
	EXPECT_STREQ(a.id, "i-7");
}

TEST_F(PlatformAnnounce, RefusesMalformedAndForeignHeartbeats)
{
	const std::string bad[] = {
	    "",
	    "not json",
	    "[]",
	    heartbeat("ready", R"("seq":"4")"),
	    heartbeat("ready", R"("seq":-4)"),
	    heartbeat("ready", R"("seq":4,"born":"then")"),
	    heartbeat("resting", R"("seq":4)"),
	    R"({"upstream":"other","address":"10.0.0.9:8080","slots":4,)"
	    R"("state":"ready","seq":4})",
	    R"({"upstream":"orders","address":"10.0.0.8:8080","slots":4,)"
	    R"("state":"ready","seq":4})",
	    R"({"upstream":"orders","address":"10.0.0.9:8080","slots":0,)"
	    R"("state":"ready","seq":4})",
	    R"({"upstream":"orders","address":"10.0.0.9:8080",)"
	    R"("state":"ready","seq":4})",
	};

	for (const std::string &b : bad)
		EXPECT_EQ(read_heartbeat(b), ANNOUNCE_MALFORMED) << b;
}

TEST_F(PlatformAnnounce, RefusesOtherPaths)
{
	EXPECT_EQ(read("PUT /api/other", ""), ANNOUNCE_UNKNOWN_PATH);
	EXPECT_EQ(read("PUT /api/instances/", ""), ANNOUNCE_UNKNOWN_PATH);
}

/* Such heartbeats come from another writer. */
TEST_F(PlatformAnnounce, RefusesOddHeartbeats)
{
	const std::string nested =
	    std::string(100000, '[') + std::string(100000, ']');
	const std::string rest[] = {
	    R"("seq":)" + std::string(400, '9'),
	    R"("seq":9223372036854775807)",
	    R"("seq":-1)",
	    R"("seq":1e999)",
	    R"("seq":"4")",
	    R"("seq":4,"born":9223372036854775807)",
	    R"("seq":4,"born":1.5)",
	    R"("seq":4,"warmup_left_s":-1)",
	    R"("seq":4,"warmup_left_s":1e300)",
	    R"("seq":4,"warmup_left_s":"1")",
	    R"("seq":4,"more":)" + nested,
	    "\"seq\":4,\"more\":\"\xff\"",
	};
	const std::string addresses[] = {"10.0.0.9:0", "10.0.0.9:65536",
	    "10.0.0.9:73616", "10.0.0.9:4294975376", "host:8080", "[::1]:8080",
	    "10.0.0.9"};

	for (const auto &r : rest)
		EXPECT_EQ(
		    read_heartbeat(heartbeat("ready", r)), ANNOUNCE_MALFORMED)
		    << r.substr(0, 60);
	for (const auto &address : addresses)
		EXPECT_EQ(read_heartbeat(
			      R"({"upstream":"orders","address":")" + address +
			      R"(","slots":4,"state":"ready","seq":4})"),
		    ANNOUNCE_MALFORMED)
		    << address;
	for (const char *slots : {"0", "-1", "4294967296", "1e3", "\"4\""})
		EXPECT_EQ(
		    read_heartbeat(R"({"upstream":"orders",)"
				   R"("address":"10.0.0.9:8080","slots":)" +
				   std::string(slots) +
				   R"(,"state":"ready","seq":4})"),
		    ANNOUNCE_MALFORMED)
		    << slots;
}
