#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "config/catalog_ini.h"
#include "core/hash.h"
}

namespace {

/* The error of parsing the text; empty if it is valid. */
std::string
error_of(const std::string &text)
{
	char err[512] = "";
	struct catalog *c = catalog_ini_parse(
	    "f.ini", text.data(), text.size(), err, sizeof(err));

	catalog_destroy(c);
	return c != nullptr ? "" : err;
}

const std::string HEAD = "[datacentre a]\n";

void
expect_error(const std::string &text, const std::string &message, int line)
{
	std::string err = error_of(HEAD + text);

	EXPECT_NE(err.find(message), std::string::npos) << err;
	EXPECT_NE(err.find("(f.ini, line " + std::to_string(line) + ")"),
	    std::string::npos)
	    << err;
	EXPECT_NE(err.find("\nhint: "), std::string::npos) << err;
}

} // namespace

TEST(CatalogIni, EverySectionIsRead)
{
	std::string t =
	    HEAD +
	    "weight = 2\n# a comment\n[policy]\nweighing = goodput\n"
	    "retries = 2\n[service a]\n[service b]\ndepends = a\n"
	    "[organisation o-1]\nrate = 1.5\nburst = 3\nkey = " +
	    std::string(64, 'a') +
	    "\n[route /x]\nservice = b\nimportance = high\nopen = no\n"
	    "refuse-when-stale = 60\n";
	char err[512] = "";
	struct catalog *c =
	    catalog_ini_parse("f", t.data(), t.size(), err, sizeof(err));

	ASSERT_NE(c, nullptr) << err;
	EXPECT_EQ(c->weighing, WEIGHING_GOODPUT);
	EXPECT_EQ(c->retry_allowance, 2u);
	EXPECT_TRUE(service_depends_on(
	    catalog_service(c, "b"), catalog_service(c, "a")));
	EXPECT_DOUBLE_EQ(catalog_organisation(c, "o-1")->rate, 1.5);
	EXPECT_EQ(catalog_route(c, "/x/1")->max_config_age_us, 60 * SEC_US);
	catalog_destroy(c);
}

TEST(CatalogIni, ErrorsNameTheLineAndGiveAHint)
{
	expect_error("[service a]\nfoo = 1\n", "unknown option 'foo'", 3);
	expect_error("[thing x]\n", "unknown section", 2);
	expect_error("[service a]\ndepends = b\n", "unknown service 'b'", 3);
	expect_error("[route /x]\nservice = b\n", "unknown service 'b'", 3);
	expect_error("[route /x]\n", "route '/x' has no service", 2);
	expect_error("[route x]\n", "bad route", 2);
	expect_error(
	    "[service a]\ndepends = b\n[service b]\ndepends = a\n", "cycle", 2);
	expect_error("[service a]\ndepends = a\n", "cycle", 2);
	expect_error("[organisation o]\nrate = 0\n", "bad value '0'", 3);
	expect_error("[organisation o]\nrate = nan\n", "bad value", 3);
	expect_error("[organisation o]\nburst = 2\n", "no rate", 2);
	expect_error("[organisation o]\n[organisation o]\n",
	    "duplicate organisation", 3);
	expect_error("[organisation o]\nkey = abc\n", "not the hash", 3);
	expect_error("[datacentre b-c]\n", "bad name", 2);
	expect_error("nonsense\n", "not INI", 2);
	expect_error("[service b]\n[route /x]\nservice = b\n"
		     "importance = nested\n",
	    "importance: bad value", 5);
	expect_error("[policy]\nretries = 99\n", "bad value", 3);
	expect_error("[policy]\nweighing = fast\n", "bad value", 3);
	expect_error(
	    "# " + std::string(300, 'x') + "\n[x]\n", "unknown section", 3);
	expect_error(std::string(300, 'x') + "\n", "too long", 2);
	EXPECT_NE(error_of("").find("no data centre"), std::string::npos);
}

TEST(CatalogIni, CorruptedTextIsReadOrRejected)
{
	const std::string valid =
	    HEAD +
	    "[service a]\n[service b]\ndepends = a\n[organisation o]\n"
	    "rate = 5\nburst = 5\nkey = " +
	    std::string(64, 'b') + "\n[route /x]\nservice = b\n";
	uint64_t rng = 7;
	int round, i, rejected = 0;

	for (round = 0; round < 20000; round++) {
		std::string t = valid;

		for (i = 0; i <= static_cast<int>(rng_below(&rng, 5)); i++)
			t[rng_below(&rng, t.size())] =
			    static_cast<char>(rng_below(&rng, 256));
		rejected += !error_of(t).empty();
	}
	EXPECT_GT(rejected, 0);
	EXPECT_LT(rejected, 20000);
}
