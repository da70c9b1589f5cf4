#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/catalog.h"
}

TEST(Catalog, RouteIsTheLongestPrefixOfWholeSegments)
{
	struct catalog *c = catalog_create();
	struct route *root = catalog_add_route(c, "/");
	struct route *orders = catalog_add_route(c, "/orders");
	struct route *late = catalog_add_route(c, "/orders/late");

	EXPECT_EQ(catalog_route(c, "/orders"), orders);
	EXPECT_EQ(catalog_route(c, "/orders/7"), orders);
	EXPECT_EQ(catalog_route(c, "/orders/late/9?x=/orders"), late);
	EXPECT_EQ(catalog_route(c, "/ordersx"), root);
	EXPECT_EQ(catalog_route(c, "/"), root);
	EXPECT_EQ(catalog_add_route(c, "/orders"), nullptr);
	catalog_destroy(c);
}

TEST(Catalog, KeysHaveOneOwnerAndDataCentresAFraction)
{
	struct catalog *c = catalog_create();
	struct organisation *o = catalog_add_organisation(c, "brno");
	uint8_t hash[KEY_HASH_LEN] = {1}, other[KEY_HASH_LEN] = {2};

	ASSERT_NE(catalog_add_key(c, o, hash), nullptr);
	EXPECT_EQ(catalog_add_key(c, o, hash), nullptr);
	EXPECT_EQ(catalog_key_owner(c, hash), o);
	EXPECT_EQ(catalog_key_owner(c, other), nullptr);
	c->ndcs = 2;
	name_copy(c->dcs[0].name, "a", NAME_LEN);
	name_copy(c->dcs[1].name, "b", NAME_LEN);
	c->dcs[0].weight = 1;
	c->dcs[1].weight = 3;
	EXPECT_DOUBLE_EQ(catalog_dc_fraction(c, "b"), 0.75);
	EXPECT_DOUBLE_EQ(catalog_dc_fraction(c, "elsewhere"), 0);
	catalog_destroy(c);
}
