/* Guards against a stand-in for the object store that fails when several daemons
 * read from it at once: it serves in the process of the system tests and would
 * end them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include <curl/curl.h>
#include <string.h>

#include "../standins/support/object_store.h"

#define READERS 8
#define READS	1500 /* Per reader. */
#define OBJECTS 4

struct reader {
	CURL *handle;
	int complete; /* Reads that returned all objects. */
};

static void put_object(struct objects *o, int i, int value)
{
	char name[16], spec[64];

	g_snprintf(name, sizeof(name), "s%d", i);
	g_snprintf(spec, sizeof(spec), "{\"list\":[{\"value\":%d}]}", value);
	objects_put(o, "servers", name, spec);
}

static size_t append(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static bool is_complete(const char *text)
{
	char name[16];
	int found = 0;

	for (int i = 0; i < OBJECTS; i++) {
		g_snprintf(name, sizeof(name), "\"s%d\"", i);
		found += strstr(text, name) != NULL;
	}
	return found == OBJECTS && strstr(text, "\"value\"");
}

static gpointer read_lists(gpointer arg)
{
	struct reader *r = arg;
	GString *text = g_string_new(NULL);

	for (int i = 0; i < READS; i++) {
		g_string_truncate(text, 0);
		curl_easy_setopt(r->handle, CURLOPT_WRITEDATA, text);
		if (!curl_easy_perform(r->handle))
			r->complete += is_complete(text->str);
	}
	g_string_free(text, TRUE);
	return NULL;
}

static void concurrent_reads_get_whole_lists(void **state)
{
	static struct reader readers[READERS];
	GThread *threads[READERS];
	struct objects *o = objects_start(0, 0);
	char url[64];

	assert_non_null(o);
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/objects/servers",
		   objects_port(o));
	for (int i = 0; i < OBJECTS; i++)
		put_object(o, i, 0);
	for (int i = 0; i < READERS; i++) {
		readers[i].handle = curl_easy_init();
		curl_easy_setopt(readers[i].handle, CURLOPT_URL, url);
		curl_easy_setopt(readers[i].handle, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(readers[i].handle, CURLOPT_WRITEFUNCTION,
				 append);
		threads[i] = g_thread_new("reader", read_lists, &readers[i]);
	}
	for (int i = 0; i < READS; i++) {
		put_object(o, i % OBJECTS, i);
		g_usleep(100);
	}
	for (int i = 0; i < READERS; i++) {
		g_thread_join(threads[i]);
		curl_easy_cleanup(readers[i].handle);
		assert_int_equal(readers[i].complete, READS);
	}
	objects_stop(o);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(concurrent_reads_get_whole_lists),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
