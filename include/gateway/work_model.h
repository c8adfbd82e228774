/**
 * @file work_model.h
 * Estimates the work of requests from the times that earlier ones took. Work is
 * the time in ms that a server of average speed takes. The model does no I/O
 * and reads no clock.
 */
#ifndef CELERYGLADE_GATEWAY_WORK_MODEL_H
#define CELERYGLADE_GATEWAY_WORK_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Levels below the route, each more specific than the one before: method, size
 * class of the body, shape of the path, client account. */
#define CGW_WORK_LEVELS 4
/** Keys of these levels that are kept; the least known ones are replaced. */
#define CGW_WORK_KEYS_MAX   8192
#define CGW_WORK_ROUTES_MAX 16384
/** Classes of the ratio of a request's work to its estimate. */
#define CGW_WORK_RATIOS 32

/** Bounds of struct cgw_work_speed. A sample beyond a factor of 4 is more likely
 * a long request or a failure than the server's speed. */
#define CGW_WORK_LOG_RATIO_MAX	  1.386
#define CGW_WORK_SPEED_WEIGHT_MAX 100.0

/** Method of a request; 0 if a daemon did not report it. */
enum cgw_work_method {
	CGW_WORK_METHOD_UNKNOWN,
	CGW_WORK_METHOD_GET,
	CGW_WORK_METHOD_HEAD,
	CGW_WORK_METHOD_POST,
	CGW_WORK_METHOD_PUT,
	CGW_WORK_METHOD_DELETE,
	CGW_WORK_METHOD_PATCH,
	CGW_WORK_METHOD_OTHER,
};

/** What is known of a request before it runs. */
struct cgw_work_traits {
	const char *route, *account; /**< Not owned. */
	unsigned int method; /**< enum cgw_work_method */
	unsigned int size_class; /**< See cgw_work_size_class(). */
	uint32_t shape; /**< See cgw_work_path_shape(). */
};

/** Keys of a request in the model. */
struct cgw_work_class {
	uint64_t route;
	/** 0 from the first level on that is unknown. */
	uint64_t levels[CGW_WORK_LEVELS];
};

enum cgw_work_method cgw_work_method(const char *name);
/** Returns the class of a body of this size; 0 without a body. */
unsigned int cgw_work_size_class(size_t bytes);
/** Returns a hash of the path's segments after the prefix of its route, without
 * the query. Segments that contain digits or are long are identifiers and count
 * as equal. */
uint32_t cgw_work_path_shape(const char *target, const char *prefix);
void cgw_work_classify(const struct cgw_work_traits *t,
		       struct cgw_work_class *out);

/** Speed of a server or of a service: its mean logarithm of the ratio of time to
 * estimate. Zero before the first sample. */
struct cgw_work_speed {
	double log_ratio;
	double weight; /**< Samples, as far as they have not faded. */
	cg_ms at; /**< Of the last sample. */
};

/** Records that a server took @p elapsed for a request of estimate
 * @p expected. */
void cgw_work_speed_record(struct cgw_work_speed *server,
			   struct cgw_work_speed *service, double expected,
			   double elapsed, cg_ms now);
/** Returns the time that the server takes as a multiple of the service's mean;
 * near 1 while samples are few. */
double cgw_work_slowness(const struct cgw_work_speed *server,
			 const struct cgw_work_speed *service, cg_ms now);

struct cgw_work_model;

struct cgw_work_model *cgw_work_model_new(void);
void cgw_work_model_free(struct cgw_work_model *m);
/** Returns the expected work in ms. */
double cgw_work_estimate(const struct cgw_work_model *m,
			 const struct cgw_work_class *c, cg_ms objective_ms,
			 cg_ms now);
/** Returns the expected work of the route's requests in ms. */
double cgw_work_route_estimate(const struct cgw_work_model *m,
			       const struct cgw_work_class *c,
			       cg_ms objective_ms, cg_ms now);
/** Estimates what remains of a request that has run for @p age ms of work, which
 * is never 0, and the share of such requests that run for longer than that, which
 * is never 0 either. */
void cgw_work_progress(const struct cgw_work_model *m,
		       const struct cgw_work_class *c, double expected,
		       double age, double *remaining, double *survival);
/** Records the work of a request that was served.
 * @param expected Its estimate before it ran. */
void cgw_work_record(struct cgw_work_model *m, const struct cgw_work_class *c,
		     double expected, double work, cg_ms now);
size_t cgw_work_key_count(const struct cgw_work_model *m);

/** One estimate in a summary for another broker. */
struct cgw_work_entry {
	uint64_t key;
	double mean, weight;
	/** Of a route only. */
	double ratios[CGW_WORK_RATIOS];
};

/** Calls @p visit for the best known routes, then for the best known keys. The
 * weights are as of @p now. */
void cgw_work_export(const struct cgw_work_model *m, size_t routes, size_t keys,
		     cg_ms now,
		     void (*visit)(void *arg, const struct cgw_work_entry *e,
				   bool is_route),
		     void *arg);
/** Adds an estimate of another broker, unless more is known here. */
void cgw_work_import(struct cgw_work_model *m, const struct cgw_work_entry *e,
		     bool is_route, cg_ms now);

#endif
