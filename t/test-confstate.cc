/*
 * Tests of the configuration that a daemon has in force.  They guard against a
 * return to an older version, against a change that is applied to another text
 * than the one it was made for, and against a proof that is none.
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
	struct config_id first;
	struct config c = {};

	a.offer(1, text_with_rate(100));
	b.offer(1, text_with_rate(100));
	first = confstate_id(&b.cs);
	a.offer(2, text_with_rate(250));
	confstate_fill(&a.cs, &c, &first);
	EXPECT_EQ(c.base_version, 1u);
	EXPECT_LE(c.text.len, 3u);
	EXPECT_EQ(confstate_offer(&b.cs, &c, NOW), CONF_ADOPTED);
	EXPECT_STREQ(b.cs.text.data, text_with_rate(250).c_str());
	buffer_release(&c.text);

	LocalConfig other;

	other.offer(1, text_with_rate(777));
	c = {};
	confstate_fill(&a.cs, &c, &first);
	EXPECT_EQ(confstate_offer(&other.cs, &c, NOW), CONF_NEED_WHOLE)
	    << "another base text gives another digest";
	buffer_release(&c.text);
}

namespace {

int texts_parsed;

/* Each text is its revision in digits; anything else is invalid. */
struct catalog *
parse_digits(const char *text, size_t len, char *err, size_t errlen)
{
	std::string copy(text, len);
	struct catalog *c;

	texts_parsed++;
	if (copy.empty() || !isdigit(copy[0])) {
		snprintf(err, errlen, "no digit");
		return nullptr;
	}
	c = catalog_create();
	c->revision = std::stoull(copy);
	return c;
}

const struct catalog_parser parser_of_digits = {parse_digits};

struct RevisedConfig {
	struct confstate cs;
	struct instant now = NOW;

	RevisedConfig()
	{
		confstate_init(&cs, &parser_of_digits);
		texts_parsed = 0;
	}
	~RevisedConfig()
	{
		confstate_release(&cs);
	}
	struct config_id
	id(uint64_t revision, uint64_t version, const std::string &text)
	{
		return {revision, version,
		    confstate_digest(text.data(), text.size())};
	}
	enum conf_result
	offer(bool is_row, uint64_t revision, uint64_t version,
	    const std::string &text)
	{
		struct config c = {};
		enum conf_result v;

		c.revision = revision;
		c.version = version;
		c.digest = confstate_digest(text.data(), text.size());
		buffer_set(&c.text, text.data(), text.size());
		v = is_row ? confstate_offer_row(&cs, &c, now)
			   : confstate_offer(&cs, &c, now);
		buffer_release(&c.text);
		return v;
	}
	enum conf_result
	row(uint64_t version, const std::string &text)
	{
		return offer(true, 0, version, text);
	}
	enum conf_result
	frame(uint64_t revision, uint64_t version, const std::string &text)
	{
		return offer(false, revision, version, text);
	}
};

} // namespace

/* A copy of the store shows its older configuration in a later row. */
TEST(Confstate, LowerRevisionInALaterRowIsNotAdopted)
{
	RevisedConfig s;

	EXPECT_EQ(s.row(10, "7"), CONF_ADOPTED);
	EXPECT_EQ(s.row(20, "5"), CONF_LOWER);
	EXPECT_EQ(s.cs.lower_revision, 5u);
	EXPECT_EQ(s.frame(5, 30, "5"), CONF_OLD);
	EXPECT_EQ(s.cs.revision, 7u);
	EXPECT_EQ(s.cs.version, 10u);
	EXPECT_EQ(s.row(40, "7"), CONF_MOVED);
	EXPECT_EQ(s.row(50, "8"), CONF_ADOPTED);
}

/* A daemon that took the older one from the copy hears of the newer one. */
TEST(Confstate, HigherRevisionAtAnEarlierPositionIsAdopted)
{
	RevisedConfig s;

	EXPECT_EQ(s.row(20, "5"), CONF_ADOPTED);
	EXPECT_EQ(s.frame(7, 10, "7"), CONF_ADOPTED);
	EXPECT_EQ(s.cs.version, 10u);
	EXPECT_EQ(s.row(20, "5"), CONF_LOWER);
	EXPECT_EQ(s.row(21, "7"), CONF_MOVED);
}

TEST(Confstate, EqualRevisionsAreOrderedByPosition)
{
	RevisedConfig s;

	EXPECT_EQ(s.row(10, "7"), CONF_ADOPTED);
	EXPECT_EQ(s.frame(7, 9, "7 other"), CONF_OLD);
	EXPECT_EQ(s.frame(7, 11, "7 other"), CONF_ADOPTED);
	EXPECT_EQ(s.row(10, "7"), CONF_OLD);
}

TEST(Confstate, EqualTextInALaterRowIsNotReadAgain)
{
	RevisedConfig s;
	struct config_id have, again = s.id(7, 30, "7");
	struct config c = {};
	struct catalog *catalog;

	s.row(10, "7");
	have = confstate_id(&s.cs);
	catalog = s.cs.catalog;
	EXPECT_EQ(s.row(20, "7"), CONF_MOVED);
	EXPECT_TRUE(confstate_move(&s.cs, &again));
	EXPECT_FALSE(confstate_move(&s.cs, &again));
	EXPECT_EQ(s.cs.version, 30u);
	EXPECT_EQ(s.cs.catalog, catalog);
	EXPECT_EQ(texts_parsed, 1);
	confstate_fill(&s.cs, &c, &have);
	EXPECT_EQ(c.text.len, 0u) << "the receiver has this text";
	EXPECT_EQ(c.version, 30u);
}

TEST(Confstate, ConfigurationThatIsNotTakenIsReadOnce)
{
	RevisedConfig s;

	s.row(10, "7");
	EXPECT_EQ(s.row(11, "nonsense"), CONF_REFUSED);
	EXPECT_EQ(s.row(12, "5"), CONF_LOWER);
	EXPECT_EQ(texts_parsed, 3);
	EXPECT_EQ(s.row(12, "5"), CONF_PASSED_OVER);
	EXPECT_EQ(s.row(11, "nonsense"), CONF_PASSED_OVER);
	EXPECT_EQ(s.frame(8, 11, "nonsense"), CONF_PASSED_OVER);
	EXPECT_EQ(texts_parsed, 3);
	EXPECT_EQ(s.row(13, "nonsense"), CONF_REFUSED) << "a new row";
}

/* The row itself may still be right. */
TEST(Confstate, SenderThatMisstatesATextIsNotBelieved)
{
	RevisedConfig s;
	struct config c = {};

	s.row(10, "7");
	EXPECT_EQ(s.frame(9, 11, "8"), CONF_REFUSED);
	EXPECT_EQ(s.frame(9, 11, "8"), CONF_PASSED_OVER);
	c.revision = 9;
	c.version = 12;
	c.digest = 1;
	buffer_set(&c.text, "9", 1);
	EXPECT_EQ(confstate_offer(&s.cs, &c, NOW), CONF_REFUSED);
	buffer_release(&c.text);
	EXPECT_EQ(s.cs.refused_us, 0u) << "there may be no newer one";
	EXPECT_EQ(s.row(11, "8"), CONF_ADOPTED);
}

/* Such a sender is of an earlier version of this program. */
TEST(Confstate, SenderThatStatesNoRevisionIsServedAndNotBelieved)
{
	RevisedConfig s;
	struct config_id stated = s.id(0, 10, "7"), ask = {0, 9, 0};
	struct config c = {};

	EXPECT_EQ(s.frame(0, 10, "7"), CONF_ADOPTED) << "better than none";
	EXPECT_EQ(s.cs.revision, 7u);
	confstate_confirm(&s.cs, &stated, 50 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 0u);
	EXPECT_EQ(s.frame(0, 11, "5"), CONF_OLD);
	EXPECT_EQ(s.frame(0, 12, "9"), CONF_OLD);
	confstate_fill(&s.cs, &c, &ask);
	EXPECT_EQ(c.text.len, 1u);
	buffer_release(&c.text);
	c = {};
	ask.version = 10;
	confstate_fill(&s.cs, &c, &ask);
	EXPECT_EQ(c.text.len, 0u);
}

TEST(Confstate, StatementWithoutItsTextIsAskedFor)
{
	RevisedConfig s;
	struct config c = {};

	s.row(10, "7");
	c.revision = 8;
	c.version = 11;
	c.digest = confstate_digest("8", 1);
	EXPECT_EQ(confstate_offer(&s.cs, &c, NOW), CONF_NEED_WHOLE);
	EXPECT_EQ(s.frame(8, 11, "8"), CONF_ADOPTED);
}

TEST(Confstate, OnlyExactlyWhatIsInForceIsConfirmed)
{
	RevisedConfig s;
	struct config_id others[] = {
	    s.id(7, 9, "7"), s.id(6, 10, "7"), s.id(7, 10, "7 other")};
	struct config_id exact = s.id(7, 10, "7");

	s.row(10, "7");
	for (const struct config_id &other : others)
		confstate_confirm(&s.cs, &other, 50 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 0u);
	confstate_confirm(&s.cs, &exact, 50 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 50 * SEC_US);
	confstate_confirm(&s.cs, &exact, 40 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 50 * SEC_US);
}

/* A daemon that has not seen the invalid one goes on confirming ours. */
TEST(Confstate, InvalidNewerOneBoundsWhatConfirms)
{
	RevisedConfig s;
	struct config_id exact = s.id(7, 10, "7"), moved = s.id(7, 30, "7");

	s.row(10, "7");
	s.now.mono_us = 60 * SEC_US;
	EXPECT_EQ(s.row(20, "nonsense"), CONF_REFUSED);
	s.now.mono_us = 70 * SEC_US;
	EXPECT_EQ(s.row(21, "more nonsense"), CONF_REFUSED);
	confstate_confirm(&s.cs, &exact, 50 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 50 * SEC_US);
	confstate_confirm(&s.cs, &exact, 80 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 60 * SEC_US);
	EXPECT_EQ(s.cs.refused_us, 60 * SEC_US);
	EXPECT_EQ(s.row(30, "7"), CONF_MOVED) << "it was taken back";
	EXPECT_EQ(s.cs.refused_us, 0u);
	confstate_confirm(&s.cs, &moved, 80 * SEC_US);
	EXPECT_EQ(s.cs.confirmed_us, 80 * SEC_US);
}

/* What is between ours and the invalid one does not end the refusal. */
TEST(Confstate, OneBeforeTheInvalidOneDoesNotEndTheRefusal)
{
	RevisedConfig s;

	s.row(10, "7");
	EXPECT_EQ(s.row(20, "nonsense"), CONF_REFUSED);
	EXPECT_EQ(s.frame(7, 15, "7 other"), CONF_ADOPTED);
	EXPECT_NE(s.cs.refused_us, 0u);
	EXPECT_EQ(s.row(25, "8"), CONF_ADOPTED);
	EXPECT_EQ(s.cs.refused_us, 0u);
}
