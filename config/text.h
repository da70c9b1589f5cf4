/*
 * text - the operators' text: services, organisations, routes, policy
 *
 *	[policy]
 *	weighing = recovery
 *	[datacentre plzen]
 *	[service records]
 *	depends = certificates
 *	[organisation brno]
 *	rate = 100
 *	burst = 40
 *	key = (64 hexadecimal digits, from "cranberryway key")
 *	[route /records]
 *	service = records
 *
 * The text is checked as a whole: an unknown word, a service that is not
 * declared, a cycle of dependencies, a rate of zero or a name that stands
 * twice is refused with the line and what to do about it.
 */
#ifndef CONFIG_TEXT_H
#define CONFIG_TEXT_H

#include "core/catalog.h"
#include "core/confstate.h"

/* NULL if the text is refused; err then holds the error and a hint. */
struct catalog *text_parse(
    const char *name, const char *text, size_t len, char *err, size_t errlen);
/* The same, as the core calls it. */
extern const struct catalog_parser text_parser;

#endif
