/* Tests of how the platform's manifest is read into a catalog. */
#include <gtest/gtest.h>
#include <sodium.h>
#include <string>

extern "C" {
#include "platform/platform.h"
}

namespace {

const char UPSTREAMS_A_AND_B[] =
    R"({"entry_type":"upstreams","metadata":{"name":"a"},"spec":{}},)"
    R"({"entry_type":"upstreams","metadata":{"name":"b"},"spec":{}})";

/* A manifest with the given resources, parsed. */
struct Parsed {
	struct catalog *c;
	char err[256] = "";

	explicit Parsed(const std::string &resources)
	{
		std::string text =
		    R"({"version":7,"resources":[)" + resources + "]}";

		c = catalog_parser_platform.parse(
		    text.c_str(), text.size(), err, sizeof(err));
	}
	~Parsed()
	{
		catalog_destroy(c);
	}
};

std::string
route_resource(const std::string &prefix, const std::string &rest)
{
	return R"({"entry_type":"routes","metadata":{"name":"r"},"spec":{)"
	       R"("authority":"x.example","path_prefix":")" +
	       prefix + "\"," + rest + "}},";
}

} // namespace

TEST(Manifest, ReadsRoutes)
{
	Parsed p(
	    route_resource("/p/",
		R"("route_type":"safe","timeout_s":0.8,)"
		R"("target_latency_s":0.2,"priority":2,)"
		R"("upstream":"a","max_attempts":2,"public":false)") +
	    route_resource("/p/q/", R"("route_type":"unsafe","priority":0,)"
				    R"("upstream":"b","public":true)") +
	    UPSTREAMS_A_AND_B);
	struct route *r;

	ASSERT_NE(p.c, nullptr) << p.err;
	r = catalog_host_route(p.c, "x.example", "/p/1?z=/p/q/");
	ASSERT_NE(r, nullptr);
	EXPECT_STREQ(r->service->name, "a");
	EXPECT_TRUE(r->idempotent);
	EXPECT_FALSE(r->open);
	EXPECT_EQ(r->timeout_us, 800 * MSEC_US);
	EXPECT_EQ(r->goal_us, 200 * MSEC_US);
	EXPECT_EQ(r->max_targets, 2u);
	EXPECT_EQ(r->importance, IMPORTANCE_LOW);
	r = catalog_host_route(p.c, "x.example", "/p/q/1");
	ASSERT_NE(r, nullptr);
	EXPECT_STREQ(r->service->name, "b");
	EXPECT_FALSE(r->idempotent);
	EXPECT_TRUE(r->open);
	EXPECT_EQ(r->importance, IMPORTANCE_HIGH);
	EXPECT_EQ(catalog_host_route(p.c, "x.example", "/p"), nullptr);
	EXPECT_EQ(catalog_host_route(p.c, "x.example", "/px/"), nullptr);
	EXPECT_EQ(catalog_host_route(p.c, "y.example", "/p/1"), nullptr);
}

TEST(Manifest, SplitsTrafficByWeight)
{
	Parsed p(
	    route_resource("/p/", R"("route_type":"safe","traffic_split":[)"
				  R"({"upstream":"a","weight":90},)"
				  R"({"upstream":"b","weight":10}])") +
	    UPSTREAMS_A_AND_B);
	struct route *r;
	int a = 0;

	ASSERT_NE(p.c, nullptr) << p.err;
	r = catalog_host_route(p.c, "x.example", "/p/");
	ASSERT_NE(r, nullptr);
	for (int i = 0; i < 1000; i++)
		a += strcmp(route_service(r, i / 1000.0)->name, "a") == 0;
	EXPECT_EQ(a, 900);
}

TEST(Manifest, ReadsOrganisationsKeysAndLimits)
{
	Parsed p(
	    R"({"entry_type":"tenants","metadata":{"name":"brno"},"spec":{)"
	    R"("api_keys":["k1","k2"],"priority":0,"rate_per_s":12.5,)"
	    R"("burst":20}},)"
	    R"({"entry_type":"limits","metadata":{},"spec":{)"
	    R"("max_header_bytes":16384,"max_body_bytes":1000,)"
	    R"("header_timeout_s":3,"idle_timeout_s":1.5}})");
	uint8_t hash[KEY_HASH_LEN];
	struct organisation *o;

	ASSERT_NE(p.c, nullptr) << p.err;
	crypto_generichash(
	    hash, sizeof(hash), (const uint8_t *)"k2", 2, NULL, 0);
	o = catalog_key_owner(p.c, hash);
	ASSERT_NE(o, nullptr);
	EXPECT_STREQ(o->name, "brno");
	EXPECT_TRUE(o->has_importance);
	EXPECT_EQ(o->importance, IMPORTANCE_HIGH);
	EXPECT_DOUBLE_EQ(o->rate, 12.5);
	EXPECT_DOUBLE_EQ(o->burst, 20);
	EXPECT_EQ(p.c->limits.header_bytes, 16384u);
	EXPECT_EQ(p.c->limits.idle_timeout_us, 1500 * MSEC_US);
	EXPECT_DOUBLE_EQ(catalog_dc_fraction(p.c, "anywhere"), 1);
}

TEST(Manifest, ReportsTheErrorOfAResource)
{
	const struct {
		const char *resources;
		const char *err;
	} bad[] = {
	    {R"({"entry_type":"routes","metadata":{"name":"r"},"spec":{)"
	     R"("authority":"x","path_prefix":"/p/","upstream":"none"}})",
		"route has no service"},
	    {R"({"entry_type":"tenants","metadata":{"name":"o"},"spec":{)"
	     R"("api_keys":["k","k"]}})",
		"duplicate API key"},
	    {R"({"entry_type":"routes","metadata":{"name":"r"},"spec":{}})",
		"without an authority"},
	};

	for (const auto &b : bad) {
		Parsed p(b.resources);

		EXPECT_EQ(p.c, nullptr);
		EXPECT_NE(std::string(p.err).find(b.err), std::string::npos)
		    << p.err;
	}
}

TEST(Manifest, RefusesTextThatIsNoManifest)
{
	char err[256] = "";

	for (const char *text : {"", "[]", "{", R"({"resources":7})"}) {
		EXPECT_EQ(catalog_parser_platform.parse(
			      text, strlen(text), err, sizeof(err)),
		    nullptr);
		EXPECT_NE(err[0], '\0');
	}
}

/* A number that the daemon could not hold is refused, with its name. */
TEST(Manifest, RefusesNumbersOutOfRange)
{
	const std::string huge = std::string(300, '9');
	const struct {
		std::string resource, member;
	} cases[] = {
	    {route_resource("/p/", R"("upstream":"a","timeout_s":-1)"),
		"timeout_s"},
	    {route_resource("/p/", R"("upstream":"a","timeout_s":1e300)"),
		"timeout_s"},
	    {route_resource("/p/", R"("upstream":"a","timeout_s":"1")"),
		"timeout_s"},
	    {route_resource("/p/", R"("upstream":"a","target_latency_s":-0.1)"),
		"target_latency_s"},
	    {route_resource("/p/", R"("upstream":"a","max_attempts":-1)"),
		"max_attempts"},
	    {route_resource(
		 "/p/", R"("upstream":"a","max_attempts":4294967297)"),
		"max_attempts"},
	    {route_resource(
		 "/p/", R"("traffic_split":[{"upstream":"a","weight":-3}])"),
		"weight"},
	    {route_resource(
		 "/p/", R"("traffic_split":[{"upstream":"a","weight":1e200}])"),
		"weight"},
	    {R"({"entry_type":"tenants","metadata":{"name":"o"},"spec":{)"
	     R"("rate_per_s":-5}},)",
		"rate_per_s"},
	    {R"({"entry_type":"tenants","metadata":{"name":"o"},"spec":{)"
	     R"("rate_per_s":5,"burst":1e300}},)",
		"burst"},
	    {R"({"entry_type":"limits","metadata":{},"spec":{)"
	     R"("max_body_bytes":1e300}},)",
		"max_body_bytes"},
	    {R"({"entry_type":"limits","metadata":{},"spec":{)"
	     R"("max_header_bytes":-1}},)",
		"max_header_bytes"},
	    {R"({"entry_type":"limits","metadata":{},"spec":{)"
	     R"("idle_timeout_s":[]}},)",
		"idle_timeout_s"},
	    {R"({"entry_type":"tenants","metadata":{"name":")" +
		    std::string(NAME_LEN, 'n') + R"("},"spec":{}},)",
		"organisation"},
	    {R"({"entry_type":"limits","metadata":{},"spec":{)"
	     R"("max_body_bytes":)" +
		    huge + "}},",
		"line"},
	};

	for (const auto &c : cases) {
		Parsed p(c.resource + UPSTREAMS_A_AND_B);

		EXPECT_EQ(p.c, nullptr) << c.resource;
		EXPECT_NE(std::string(p.err).find(c.member), std::string::npos)
		    << p.err;
	}
}

namespace {

/* The revision of a manifest with this member in front of its list. */
uint64_t
revision_of(const std::string &member)
{
	std::string text = "{" + member + R"("resources":[]})";
	char err[256] = "";
	struct catalog *c = catalog_parser_platform.parse(
	    text.c_str(), text.size(), err, sizeof(err));
	uint64_t revision = c != nullptr ? c->revision : UINT64_MAX;

	catalog_destroy(c);
	return revision;
}

} // namespace

TEST(Manifest, ItsOwnVersionIsItsRevision)
{
	EXPECT_EQ(revision_of(R"("version":7,)"), 7u);
	EXPECT_EQ(revision_of(R"("version":7.0,)"), 7u);
	EXPECT_EQ(
	    revision_of(R"("version":9007199254740992,)"), UINT64_C(1) << 53);
}

TEST(Manifest, VersionThatIsNoWholeNumberInRangeStatesNoRevision)
{
	for (const char *version :
	    {"", R"("version":null,)", R"("version":"7",)", R"("version":-1,)",
		R"("version":0,)", R"("version":7.5,)", R"("version":1e300,)",
		R"("version":9007199254740994,)", R"("version":[7],)",
		R"("version":true,)"})
		EXPECT_EQ(revision_of(version), 0u) << version;
}
