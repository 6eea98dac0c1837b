/** Routes from databases to services, with the consistency level of their reads. */
package org.carobstage.route;
