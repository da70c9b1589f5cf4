#include <gtest/gtest.h>

extern "C" {
#include "core/tree.h"
}

TEST(Tree, FullParentRedirectsToAChild)
{
	const struct config_id first = {0, 1, 7}, second = {0, 2, 8};
	struct addr redirect = {0, 0};
	struct tree t;
	uint64_t rng = 1;
	uint16_t i;

	tree_init(&t);
	for (i = 1; i <= TREE_MAX_CHILDREN; i++)
		EXPECT_TRUE(tree_admit(&t, {1, i}, &first, 0, &rng, &redirect));
	EXPECT_FALSE(tree_admit(&t, {2, 1}, &first, 0, &rng, &redirect));
	EXPECT_NE(tree_child(&t, redirect), nullptr);
	EXPECT_TRUE(tree_admit(&t, {1, 3}, &second, 5, &rng, &redirect));
	EXPECT_EQ(tree_child(&t, {1, 3})->config.version, 2u);
	tree_tick(&t, TREE_CHILD_TIMEOUT_US + 1);
	EXPECT_EQ(t.nchildren, 1);
	tree_remove_child(&t, {1, 3});
	EXPECT_EQ(t.nchildren, 0);
	tree_release(&t);
}

/* The row of the root may hold what another writer left there. */
TEST(Tree, OddRootsAreNoRoots)
{
	uint64_t incarnation;
	struct addr root;

	EXPECT_TRUE(tree_parse_root("1:2:3", &root, &incarnation));
	for (const char *text :
	    {"", "1:2", "1:0:3", "0:2:3", "1:65536:3", "1:4294967298:3",
		"4294967297:2:3", "-1:2:3", "1:-2:3", "1:2:-3", " 1:2:3",
		"1:2:3 ", "1:2:99999999999999999999999", "[[[", "a:b:c"})
		EXPECT_FALSE(tree_parse_root(text, &root, &incarnation))
		    << text;
	EXPECT_FALSE(tree_parse_root(nullptr, &root, &incarnation));
}
