/*
 * Tests of the configuration that a daemon has in force.  They guard against a
 * return to an older version, and against a change that is applied to another
 * text than the one it was made for.
 */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "config/catalog_ini.h"
#include "core/confstate.h"
}

namespace {

const struct instant NOW = {100 * SEC_US, 100000};

struct LocalConfig {
	struct confstate cs;

	LocalConfig()
	{
		confstate_init(&cs, &catalog_parser_native);
	}
	~LocalConfig()
	{
		confstate_release(&cs);
	}
	enum conf_result
	offer(uint64_t version, const std::string &text)
	{
		struct config c = {};
		enum conf_result v;

		c.version = version;
		c.digest = confstate_digest(text.data(), text.size());
		buffer_set(&c.text, text.data(), text.size());
		v = confstate_offer(&cs, &c, NOW);
		buffer_release(&c.text);
		return v;
	}
};

/* A configuration that differs from others by the rate alone. */
std::string
text_with_rate(int rate)
{
	return "[datacentre a]\n[organisation o]\nrate = " +
	       std::to_string(rate) + "\nburst = 5\n[service s]\n";
}

} // namespace

TEST(Confstate, VersionOnlyIncreases)
{
	LocalConfig s;

	EXPECT_EQ(s.offer(2, text_with_rate(1)), CONF_ADOPTED);
	EXPECT_EQ(s.offer(1, text_with_rate(2)), CONF_OLD);
	EXPECT_EQ(s.offer(2, text_with_rate(2)), CONF_SAME);
	EXPECT_EQ(s.offer(3, "[nonsense]\n"), CONF_REFUSED);
	EXPECT_EQ(s.cs.version, 2u);
	EXPECT_EQ(s.offer(4, text_with_rate(3)), CONF_ADOPTED);
}

TEST(Confstate, ChangesAreShortAndTheirDigestIsChecked)
{
	LocalConfig a, b;
	struct config c = {};

	a.offer(1, text_with_rate(100));
	b.offer(1, text_with_rate(100));
	a.offer(2, text_with_rate(250));
	confstate_fill(&a.cs, &c, 1);
	EXPECT_EQ(c.base_version, 1u);
	EXPECT_LE(c.text.len, 3u);
	EXPECT_EQ(confstate_offer(&b.cs, &c, NOW), CONF_ADOPTED);
	EXPECT_STREQ(b.cs.text.data, text_with_rate(250).c_str());
	buffer_release(&c.text);

	LocalConfig other;

	other.offer(1, text_with_rate(777));
	c = {};
	confstate_fill(&a.cs, &c, 1);
	EXPECT_EQ(confstate_offer(&other.cs, &c, NOW), CONF_NEED_WHOLE)
	    << "another base text gives another digest";
	buffer_release(&c.text);
}
