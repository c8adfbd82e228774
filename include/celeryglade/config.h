/**
 * @file config.h
 * The configuration in force: an immutable, reference-counted snapshot of
 * services, backend servers, routes, client accounts and keys. Any thread may
 * read a snapshot that it holds a reference to.
 */
#ifndef CELERYGLADE_CONFIG_H
#define CELERYGLADE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Size of a SHA-256 digest in bytes. */
#define CG_DIGEST_SIZE 32
/** Longest name of an object in bytes, without the terminating zero. */
#define CG_NAME_MAX 63
/** Number of shards that accounts and services are hashed to. */
#define CG_SHARDS 256

struct cg_service;

/** One backend server. */
struct cg_server {
	char name[CG_NAME_MAX + 1];
	char host[46]; /**< IP address as text. */
	uint16_t port;
	char failure_domain[CG_NAME_MAX + 1];
	uint32_t slots; /**< Requests that it runs concurrently. */
	uint32_t connections; /**< Limit over the connections of all daemons. */
	const struct cg_service *service;
};

/** One service: a set of interchangeable backend servers. */
struct cg_service {
	char name[CG_NAME_MAX + 1];
	uint32_t shard; /**< cg_shard_of(name). */
	struct cg_server *servers;
	size_t server_count;
	/** Percentage of its slots that ejections must leave available. */
	uint32_t floor_percent;
	uint32_t workers; /**< Concurrent attempts of one daemon. */
	uint32_t queue; /**< Limit of requests that wait in one daemon. */
	uint32_t queue_per_account; /**< The same for one account. */
	cg_ms attempt_timeout_ms;
	cg_ms ramp_ms; /**< Warm-up time of a new server. */
	bool echo_attempt; /**< Servers must echo Celeryglade-Attempt. */
};

enum cg_method {
	CG_METHOD_GET = 1 << 0,
	CG_METHOD_HEAD = 1 << 1,
	CG_METHOD_POST = 1 << 2,
	CG_METHOD_PUT = 1 << 3,
	CG_METHOD_DELETE = 1 << 4,
	CG_METHOD_PATCH = 1 << 5,
	CG_METHOD_OPTIONS = 1 << 6,
};

/** Parses an HTTP method; returns 0 for one that is not supported. */
enum cg_method cg_method_parse(const char *text);

/** Returns the name of one method; the string is static. */
const char *cg_method_name(enum cg_method m);

struct cg_account;

/** Maps a path prefix and methods to a service. */
struct cg_route {
	char name[CG_NAME_MAX + 1];
	char *path; /**< Prefix of whole segments; starts with '/'. */
	unsigned int methods; /**< Bit set of enum cg_method. */
	const struct cg_service *service;
	bool open; /**< Requests need no key. */
	bool idempotent; /**< A request may be retried. */
	cg_ms deadline_ms; /**< Limit for the whole response to the caller. */
	const struct cg_account **accounts; /**< Allowed; NULL for all. */
	size_t account_count;
};

/** One client account. */
struct cg_account {
	char name[CG_NAME_MAX + 1];
	uint32_t shard; /**< cg_shard_of(name). */
	int64_t rate_milli; /**< Thousandths of a request per second. */
	int64_t burst_milli; /**< Thousandths of a request. */
};

/** One key of an account. Only its SHA-256 digest is stored. */
struct cg_key {
	uint8_t digest[CG_DIGEST_SIZE];
	const struct cg_account *account;
	char name[CG_NAME_MAX + 1];
};

struct cg_config;

/** Returns the version of the root that @p c was built from. */
uint64_t cg_config_version(const struct cg_config *c);

/** Adds a reference; returns @p c. */
struct cg_config *cg_config_ref(struct cg_config *c);

/** Releases a reference. The last release frees the snapshot and all its
 * objects. @p c may be NULL. */
void cg_config_unref(struct cg_config *c);

/**
 * Finds the route with the longest path prefix of @p path (without query) that
 * allows @p method. Returns NULL if there is none; @p method_refused is set to
 * whether some prefix matched but allows other methods only. The snapshot owns
 * the route.
 */
const struct cg_route *cg_config_find_route(const struct cg_config *c,
					    enum cg_method method,
					    const char *path,
					    bool *method_refused);

/** Returns the account of the key with this digest, or NULL. */
const struct cg_account *
cg_config_find_account_by_key(const struct cg_config *c,
			      const uint8_t digest[CG_DIGEST_SIZE]);

/** Look up an object by name. Return NULL if there is none; the snapshot owns
 * the object. */
const struct cg_account *cg_config_find_account(const struct cg_config *c,
						const char *name);
const struct cg_service *cg_config_find_service(const struct cg_config *c,
						const char *name);
const struct cg_server *cg_config_find_server(const struct cg_config *c,
					      const char *name);

/** Iteration in order of names: returns the object at index @p i, or NULL past
 * the end. */
const struct cg_service *cg_config_service_at(const struct cg_config *c,
					      size_t i);
const struct cg_account *cg_config_account_at(const struct cg_config *c,
					      size_t i);
const struct cg_route *cg_config_route_at(const struct cg_config *c, size_t i);

/** Returns the shard of an account's or service's name. */
uint32_t cg_shard_of(const char *name);

/** Computes the SHA-256 digest of a key as a caller sends it. */
void cg_key_digest(const char *key, uint8_t out[CG_DIGEST_SIZE]);

#endif
