/* Conversion between rate messages and their XDR representation. */
#ifndef RATE_CODEC_H
#define RATE_CODEC_H

#include <glib.h>

#include "celeryglade/rate_ledger.h"
#include "rate_wire.h"

/** The strings in the XDR structs point into the arguments. */
void cg_rate_token_request_to_xdr(const char *account,
				  const struct cg_rate_token_request *request,
				  cg_x_rate_token_request *out);
void cg_rate_token_request_from_xdr(const cg_x_rate_token_request *x,
				    struct cg_rate_token_request *out);
void cg_rate_answer_to_xdr(const struct cg_rate_answer *a,
			   cg_x_rate_answer *out);
void cg_rate_answer_from_xdr(const cg_x_rate_answer *x,
			     struct cg_rate_answer *out);
void cg_rate_share_to_xdr(const struct cg_rate_share *s, cg_x_rate_share *out);
void cg_rate_share_from_xdr(const cg_x_rate_share *x,
			    struct cg_rate_share *out);
void cg_rate_record_to_xdr(const char *account, const struct cg_rate_record *r,
			   cg_ms now, cg_x_rate_record *out);
void cg_rate_record_from_xdr(const cg_x_rate_record *x, cg_ms now,
			     struct cg_rate_record *out);

#endif
