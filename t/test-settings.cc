#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "config/settings.h"
}

namespace {

const std::string VALID_TEXT =
    "[daemon]\ndatacentre = a\nsecret-file = /s\n"
    "link = 127.0.0.1:1\ncallers = 127.0.0.1:2\n"
    "operators = 127.0.0.1:3\nplatform = 127.0.0.1:4\n";

/* The error of reading the text; empty if it is valid. */
std::string
error_of(const std::string &text, struct settings *s)
{
	char err[512] = "";

	settings_read(s, "d.ini", text.data(), text.size(), err, sizeof(err));
	return err;
}

} // namespace

TEST(Settings, ValuesAreReadAndOthersHaveDefaults)
{
	struct settings *s = settings_create();

	EXPECT_EQ(error_of(VALID_TEXT +
			       "max-calls = 7\npeers = 10.0.0.1:9 10.0.0.2:9\n",
		      s),
	    "");
	EXPECT_EQ(s->max_calls, 7u);
	EXPECT_EQ(s->npeers, 2);
	EXPECT_EQ(s->link.ip, 0x7f000001u);
	EXPECT_STREQ(s->limiter, "slots");
	settings_destroy(s);
}

TEST(Settings, ErrorsNameTheLine)
{
	const char *const bad[][2] = {
	    {"colour = red\n", "unknown setting 'colour'"},
	    {"max-calls = 0\n", "bad value '0'"},
	    {"max-calls = many\n", "bad value"},
	    {"max-calls = -1\n", "bad value"},
	    {"link = here:1\n", "duplicate"},
	    {"peers = localhost:1\n", "bad address"},
	    {"[other]\n", "unknown section"},
	};

	for (auto &b : bad) {
		struct settings *s = settings_create();
		std::string err = error_of(VALID_TEXT + b[0], s);

		EXPECT_NE(err.find(b[1]), std::string::npos) << err;
		EXPECT_NE(err.find("line 8"), std::string::npos) << err;
		settings_destroy(s);
	}
	struct settings *s = settings_create();

	EXPECT_NE(
	    error_of("[daemon]\n", s).find("is missing"), std::string::npos);
	settings_destroy(s);
}

TEST(Settings, MalformedAddressesAreRejected)
{
	struct addr a;

	EXPECT_TRUE(addr_parse("10.1.2.3:80", &a));
	EXPECT_EQ(a.port, 80);
	for (const char *bad : {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0",
		 "10.1.2.3:99999", "host:80", "10.1.2.3:8x"})
		EXPECT_FALSE(addr_parse(bad, &a)) << bad;
}

TEST(Settings, DataCentresOfTheOwnRegionAreCounted)
{
	struct settings *s = settings_create();

	EXPECT_EQ(
	    error_of(VALID_TEXT + "region = r\n[datacentres]\na = r\nb = r\n"
				  "c = other\n",
		s),
	    "");
	EXPECT_EQ(s->ndcs, 3);
	EXPECT_EQ(settings_count_region_dcs(s), 2);
	settings_destroy(s);
	s = settings_create();
	EXPECT_NE(error_of(VALID_TEXT + "[datacentres]\na =\n", s), "");
	settings_destroy(s);
}
