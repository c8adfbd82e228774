/* GLib is not built with ThreadSanitizer, which therefore does not see that a
 * push to a GAsyncQueue happens before the matching pop, and reports a data
 * race for every item passed through a queue. These wrappers annotate that
 * order. */
#if defined(__SANITIZE_THREAD__)
#include <dlfcn.h>
#include <glib.h>
#include <stdatomic.h>
#include <sanitizer/tsan_interface.h>

void g_async_queue_push(GAsyncQueue *queue, gpointer data)
{
	static void (*_Atomic real)(GAsyncQueue *, gpointer);

	if (!real)
		real = (void (*)(GAsyncQueue *, gpointer))dlsym(
			RTLD_NEXT, "g_async_queue_push");
	__tsan_release(data);
	real(queue, data);
}

gpointer g_async_queue_pop(GAsyncQueue *queue)
{
	static gpointer (*_Atomic real)(GAsyncQueue *);
	gpointer data;

	if (!real)
		real = (gpointer(*)(GAsyncQueue *))dlsym(RTLD_NEXT,
							 "g_async_queue_pop");
	data = real(queue);
	__tsan_acquire(data);
	return data;
}
#else
typedef int cg_tsan_glib_unused;
#endif
