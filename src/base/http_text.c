#include "internal/http_text.h"

#include <string.h>

enum MHD_Result cg_http_respond_text(struct MHD_Connection *mhd,
				     unsigned int status, const char *text)
{
	struct MHD_Response *m = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	if (!m)
		return MHD_NO;
	MHD_add_response_header(m, "Content-Type", "text/plain");
	rc = MHD_queue_response(mhd, status, m);
	MHD_destroy_response(m);
	return rc;
}
