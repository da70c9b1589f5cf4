/* Lists in which some entries cannot be read. */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "platform/json_list.h"
}

namespace {

/* The entries of the list "rows", as one compact text, or "none". */
std::string
load(const std::string &text, size_t *unreadable)
{
	json_t *object =
	    json_list_load(text.data(), text.size(), "rows", unreadable);
	char *dump;
	std::string rows;

	if (object == nullptr)
		return "none";
	dump = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	rows = dump;
	free(dump);
	json_decref(object);
	return rows;
}

} // namespace

TEST(JsonList, LeavesOutEntriesThatCannotBeRead)
{
	const std::string deep =
	    std::string(100000, '[') + std::string(100000, ']');
	size_t unreadable;

	EXPECT_EQ(load(R"({"rows":[1,2],"ver":3})", &unreadable),
	    R"({"rows":[1,2],"ver":3})");
	EXPECT_EQ(unreadable, 0u);
	EXPECT_EQ(load(R"({ "a":"]}\"", "rows" : [ {"x":"],[{"} , )" + deep +
			   R"(, 1e999, "\\", {"n":)" + std::string(400, '9') +
			   R"(} ] , "ver":3 })",
		      &unreadable),
	    R"({"a":"]}\"","rows":[{"x":"],[{"},"\\"],"ver":3})");
	EXPECT_EQ(unreadable, 3u);
}

TEST(JsonList, RefusesATextThatIsNoObject)
{
	size_t unreadable;

	for (const char *text :
	    {"", "{", "[1]", "x", "{\"rows\"", "{\"rows\":", "{\"rows\":[",
		"{\"rows\":[1", "{\"rows\":[1e999", "{\"rows\":[1e999]",
		"{\"rows\":[1e999],", "{\"rows\":[1e999]]}", "{\"a\":1e999}",
		"{\"a\":\"\\", "{\"rows\":1e999}"})
		EXPECT_EQ(load(text, &unreadable), "none") << text;
}
