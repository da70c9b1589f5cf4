/* Rows of members, which other writers may have left or changed. */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/member_row.h"
}

namespace {

const uint64_t NOW_MS = 1700000000000;

/* Why a row names no member; empty if it does. */
std::string
fault_of(const std::string &key, const std::string &value)
{
	struct member_record r;
	const char *fault =
	    member_row_parse(key.c_str(), value.c_str(), "orders", NOW_MS, &r);

	return fault != nullptr ? fault : "";
}

} // namespace

TEST(MemberRow, IsReadAsItWasWritten)
{
	struct member_record r = {}, back;
	char key[ROW_KEY_LEN], value[MEMBER_ROW_VALUE_LEN];

	r.addr = {0x0a000001, 7000};
	r.incarnation = NOW_MS;
	r.slots = 264;
	name_copy(r.dc, "plzen", sizeof(r.dc));
	member_row_key(key, sizeof(key), "orders", &r);
	member_row_format(value, sizeof(value), &r);
	EXPECT_STREQ(key, "member/orders/plzen/167772161:7000");
	ASSERT_EQ(
	    member_row_parse(key, value, "orders", NOW_MS, &back), nullptr);
	EXPECT_TRUE(addr_equal(back.addr, r.addr));
	EXPECT_EQ(back.incarnation, r.incarnation);
	EXPECT_EQ(back.slots, r.slots);
	EXPECT_EQ(back.state, MEMBER_ALIVE);
	EXPECT_STREQ(back.dc, "plzen");
}

TEST(MemberRow, NamesTheFaultOfAnOddRow)
{
	const std::string key = "member/orders/a/1:2", huge(400, '9');

	EXPECT_EQ(fault_of(key, "1 2 3 4 a"), "");
	EXPECT_EQ(fault_of(key, ""), "address");
	EXPECT_EQ(fault_of(key, "4294967297 2 3 4 a"), "address");
	EXPECT_EQ(fault_of(key, "1 0 3 4 a"), "port");
	EXPECT_EQ(fault_of(key, "1 65538 3 4 a"), "port");
	EXPECT_EQ(fault_of(key, "1 2 " + huge + " 4 a"), "incarnation");
	EXPECT_EQ(fault_of(key, "1 2 18446744073709551615 4 a"), "incarnation");
	EXPECT_EQ(fault_of(key, "1 2 1700086400001 4 a"), "incarnation");
	EXPECT_EQ(fault_of(key, "1 2 1700086400000 4 a"), "");
	EXPECT_EQ(fault_of(key, "1 2 3 0 a"), "slots");
	EXPECT_EQ(fault_of(key, "1 2 3 -4 a"), "slots");
	EXPECT_EQ(fault_of(key, "1 2 3 1000001 a"), "slots");
	EXPECT_EQ(fault_of(key, "1 2 3 4 "), "data-centre");
	EXPECT_EQ(fault_of(key, "1 2 3 4 a b"), "data-centre");
	EXPECT_EQ(fault_of(key, "1 2 3 4 " + std::string(NAME_LEN, 'a')),
	    "data-centre");
	EXPECT_EQ(fault_of("member/orders/a/1:3", "1 2 3 4 a"), "key");
	EXPECT_EQ(fault_of("member/other/a/1:2", "1 2 3 4 a"), "key");
	EXPECT_EQ(fault_of("", "1 2 3 4 a"), "key");
}
