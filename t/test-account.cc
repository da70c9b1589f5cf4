/*
 * Tests of the account of what a process holds: that its sum is that of its
 * holders whatever they do, that the one gives way that holds most and moves
 * least, and that what is reserved stays free.
 */
#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "core/account.h"
}

namespace {

void give_up(void *owner);

const struct holder_ops caller = {HOLDER_CALLER, false, give_up};
const struct holder_ops link_ops = {HOLDER_LINK, true, nullptr};

/* Something that holds, and gives up all of it when asked to. */
struct Thing {
	struct holder h;
	bool gave_way = false;

	Thing(struct account *a, uint64_t held, uint64_t now_us = 0,
	    const struct holder_ops *ops = &caller)
	{
		holder_init(&h, a, ops, this, now_us);
		holder_set(&h, held);
	}
	~Thing()
	{
		holder_release(&h);
	}
};

void
give_up(void *owner)
{
	Thing *t = static_cast<Thing *>(owner);

	t->gave_way = true;
	holder_set(&t->h, 0);
}

struct Account : public testing::Test {
	static void
	count_over(void *arg)
	{
		static_cast<Account *>(arg)->over++;
	}
	static void
	count_fall(void *arg)
	{
		static_cast<Account *>(arg)->falls++;
	}

	static constexpr struct account_ops ops = {count_over, count_fall};
	struct account *a = account_create(1000, 0, &ops, this);
	int over = 0, falls = 0;

	~Account() override
	{
		account_destroy(a);
	}
	uint64_t
	held()
	{
		return account_state(a)->held;
	}
};

} // namespace

TEST_F(Account, TheOneThatHoldsMostGivesWay)
{
	Thing small(a, 300), large(a, 500), middle(a, 400);

	EXPECT_TRUE(account_is_over(a));
	EXPECT_TRUE(account_make_room(a, nullptr, SEC_US));
	EXPECT_TRUE(large.gave_way);
	EXPECT_FALSE(small.gave_way);
	EXPECT_FALSE(middle.gave_way);
	EXPECT_EQ(held(), 700u);
	EXPECT_EQ(account_state(a)->gave_way[HOLDER_CALLER], 1u);
	EXPECT_EQ(account_state(a)->last_held, 500u);
	EXPECT_EQ(account_state(a)->last_idle_us, SEC_US);
	EXPECT_EQ(account_state(a)->peak, 1200u);
}

TEST_F(Account, TheOneThatMovesLeastGivesWay)
{
	Thing stalled(a, 500), moving(a, 600);

	holder_moved(&moving.h, 65536, 10 * SEC_US);
	account_make_room(a, nullptr, 10 * SEC_US);
	EXPECT_TRUE(stalled.gave_way);
	EXPECT_FALSE(moving.gave_way);
}

TEST_F(Account, AFewBytesNowAndThenAreNoMove)
{
	Thing drips(a, 500), moves(a, 600);
	int i;

	for (i = 1; i <= 100; i++) {
		holder_moved(&drips.h, 10, i * 100 * MSEC_US);
		holder_moved(&moves.h, 1000, i * 100 * MSEC_US);
	}
	account_make_room(a, nullptr, 10 * SEC_US);
	EXPECT_TRUE(drips.gave_way);
	EXPECT_FALSE(moves.gave_way);
}

TEST_F(Account, WhoWaitsForThisProcessDoesNotStandStill)
{
	Thing stalled(a, 500), waits(a, 600);

	holder_set_waiting(&waits.h, true, 0);
	account_make_room(a, nullptr, 10 * SEC_US);
	EXPECT_TRUE(stalled.gave_way);
	EXPECT_FALSE(waits.gave_way);
	/* The time of waiting does not count afterwards either. */
	holder_set_waiting(&waits.h, false, 10 * SEC_US);
	EXPECT_EQ(holder_weight(&waits.h, 11 * SEC_US), 600u * 1000);
}

TEST_F(Account, AmongEqualsTheNewcomerGivesWay)
{
	Thing first(a, 600, SEC_US), newcomer(a, 600, SEC_US);

	EXPECT_FALSE(account_make_room(a, &newcomer.h, SEC_US));
	EXPECT_TRUE(newcomer.gave_way);
	EXPECT_FALSE(first.gave_way);
}

TEST_F(Account, ANewcomerTakesThePlaceOfOneThatStandsStill)
{
	Thing idle(a, 600), newcomer(a, 600, 30 * SEC_US);

	EXPECT_TRUE(account_make_room(a, &newcomer.h, 30 * SEC_US));
	EXPECT_TRUE(idle.gave_way);
}

TEST_F(Account, EssentialHoldersUseThePartThatIsReserved)
{
	account_set_limit(a, 1000, 300);
	Thing caller1(a, 400), caller2(a, 300);

	EXPECT_FALSE(account_is_over(a));
	Thing l(a, 300, 0, &link_ops);
	EXPECT_FALSE(account_is_over(a));
	Thing caller3(a, 1);
	EXPECT_TRUE(account_is_over(a));
	account_make_room(a, nullptr, SEC_US);
	EXPECT_TRUE(caller1.gave_way);
	EXPECT_FALSE(caller2.gave_way);
	EXPECT_EQ(l.h.held, 300u);
}

TEST_F(Account, EssentialHoldersTakeMoreThanIsReserved)
{
	account_set_limit(a, 1000, 300);
	Thing caller1(a, 700), l(a, 900, 0, &link_ops);

	account_make_room(a, nullptr, SEC_US);
	EXPECT_TRUE(caller1.gave_way);
	EXPECT_FALSE(account_is_over(a));
	/* Nobody is left that could give way. */
	holder_set(&l.h, 2000);
	EXPECT_TRUE(account_make_room(a, nullptr, SEC_US));
	EXPECT_EQ(held(), 2000u);
}

TEST_F(Account, EssentialHoldersGiveWayLast)
{
	static const struct holder_ops ops = {HOLDER_LINK, true, give_up};
	Thing caller1(a, 100), l(a, 1000, 0, &ops);

	account_make_room(a, nullptr, SEC_US);
	EXPECT_TRUE(caller1.gave_way);
	EXPECT_FALSE(l.gave_way);
	holder_set(&l.h, 1001);
	account_make_room(a, nullptr, SEC_US);
	EXPECT_TRUE(l.gave_way);
}

TEST_F(Account, TellsWhenItGetsOverTheLimit)
{
	Thing t(a, 1000);

	EXPECT_EQ(over, 0);
	holder_set(&t.h, 1001);
	EXPECT_EQ(over, 1);
	holder_set(&t.h, 1);
	EXPECT_EQ(over, 1);
}

TEST_F(Account, TellsWhenItFellByAnEighthOfTheLimit)
{
	Thing t(a, 1000);

	holder_set(&t.h, 880);
	EXPECT_EQ(falls, 0);
	holder_set(&t.h, 870);
	EXPECT_EQ(falls, 1);
	/* It counts from the highest sum since. */
	holder_set(&t.h, 900);
	holder_set(&t.h, 776);
	EXPECT_EQ(falls, 1);
	holder_set(&t.h, 0);
	EXPECT_EQ(falls, 2);
}

TEST(NoAccount, ChargesNothing)
{
	Thing t(nullptr, 1000);

	holder_moved(&t.h, 1, 1);
	EXPECT_TRUE(account_make_room(nullptr, &t.h, 1));
	EXPECT_FALSE(t.gave_way);
}

TEST_F(Account, SumIsThatOfTheHoldersUnderSeededSteps)
{
	std::mt19937 rng(38);
	std::vector<Thing *> things;
	uint64_t sum, by_caller, now_us = 0;
	int step;

	for (step = 0; step < 20000; step++) {
		now_us += rng() % 1000;
		if (things.size() < 5 || rng() % 8 == 0)
			things.push_back(new Thing(a, rng() % 200, now_us,
			    rng() % 4 == 0 ? &link_ops : &caller));
		Thing *&one = things[rng() % things.size()];
		switch (rng() % 4) {
		case 0:
			holder_set(&one->h, rng() % 300);
			break;
		case 1:
			holder_moved(&one->h, rng() % 8192, now_us);
			break;
		case 2:
			account_make_room(a, &one->h, now_us);
			break;
		default:
			delete one;
			one = things.back();
			things.pop_back();
			break;
		}
		sum = by_caller = 0;
		for (const Thing *t : things) {
			sum += t->h.held;
			by_caller += t->h.ops == &caller ? t->h.held : 0;
		}
		ASSERT_EQ(held(), sum) << "step " << step;
		ASSERT_EQ(account_state(a)->held_by[HOLDER_CALLER], by_caller);
	}
	for (Thing *t : things)
		delete t;
	EXPECT_EQ(held(), 0u);
}
