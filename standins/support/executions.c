#include "executions.h"

#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <unistd.h>

#include "http.h"

/* Executions of one request id. */
struct execution_record {
	uint64_t count;
	char *account;
	GString *attempts;
	bool forbidden;
};

static GHashTable *records;
static int journal = -1;

static void record_free(void *arg)
{
	struct execution_record *r = arg;

	g_free(r->account);
	g_string_free(r->attempts, TRUE);
	g_free(r);
}

int sh_executions_init(const char *path)
{
	records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					record_free);
	if (!path)
		return 0;
	journal = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	return journal < 0 ? -1 : 0;
}

/* Request ids come from callers and may contain any byte: escape them. */
static void append_line(GString *s, const char *id, uint64_t n,
			const char *account, const char *attempts,
			bool forbidden)
{
	char *safe_id = g_strescape(id, NULL);
	char *safe_account = g_strescape(account, NULL);
	char *safe_attempts = g_strescape(attempts, NULL);

	g_string_append_printf(s,
			       "{\"id\":\"%s\",\"count\":%" G_GUINT64_FORMAT
			       ",\"account\":\"%s\",\"attempts\":\"%s\","
			       "\"forbidden\":%s}\n",
			       safe_id, n, safe_account, safe_attempts,
			       forbidden ? "true" : "false");
	g_free(safe_id);
	g_free(safe_account);
	g_free(safe_attempts);
}

static void append_to_journal(const char *id, const char *account,
			      const char *attempt, bool forbidden)
{
	GString *line = g_string_new(NULL);

	append_line(line, id, 1, account, attempt, forbidden);
	if (write(journal, line->str, line->len) != (ssize_t)line->len)
		fprintf(stderr, "backend: cannot write the journal\n");
	g_string_free(line, TRUE);
}

void sh_executions_add(struct MHD_Connection *c, const char *id,
		       const char *attempt)
{
	const char *account = sh_header(c, "Celeryglade-Account");
	bool forbidden = sh_header(c, "Authorization") ||
			 sh_header(c, "Celeryglade-Key");
	struct execution_record *r = g_hash_table_lookup(records, id);

	if (!account)
		account = "";
	if (!r) {
		r = g_new0(struct execution_record, 1);
		r->attempts = g_string_new(NULL);
		r->account = g_strdup(account);
		g_hash_table_insert(records, g_strdup(id), r);
	}
	r->count++;
	r->forbidden |= forbidden;
	g_string_append_printf(r->attempts, "%s%s", r->attempts->len ? " " : "",
			       attempt);
	if (journal >= 0)
		append_to_journal(id, account, attempt, forbidden);
}

void sh_executions_print(GString *out)
{
	GHashTableIter it;
	gpointer id, v;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		struct execution_record *r = v;

		append_line(out, id, r->count, r->account, r->attempts->str,
			    r->forbidden);
	}
}

void sh_executions_clear(void)
{
	g_hash_table_remove_all(records);
}
