/*
 * catalog_ini - parses the operators' configuration text into a catalog
 *
 * The text is INI.  It declares services and their dependencies, the
 * organisations with their limits and keys, the routes, the data centres
 * and the policy:
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
 * The text is checked as a whole.  An unknown section or option, a value out
 * of range, a service that is not declared, a cycle of dependencies, an
 * organisation without rate or burst, or a name declared twice is an error,
 * reported with its line and a hint how to correct it.
 */
#ifndef CONFIG_CATALOG_INI_H
#define CONFIG_CATALOG_INI_H

#include "core/catalog.h"
#include "core/confstate.h"

/*
 * Parse len bytes of text; name is that of the file, for the error message.
 * Returns a catalog that the caller destroys, or NULL with an error and a
 * hint in err.
 */
struct catalog *catalog_ini_parse(
    const char *name, const char *text, size_t len, char *err, size_t errlen);
/* The same for the core, under the file name "configuration". */
extern const struct catalog_parser catalog_parser_native;

#endif
